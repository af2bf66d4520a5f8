package main

// memoryShare is the part of the process's memory beyond which the garbage
// collector works harder, in per cent.
const memoryShare = 60
