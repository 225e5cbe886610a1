#!/usr/bin/env node
/** gooseberryspan-entry: the one program on an entry instance. */

// Node opens the files of all modules that become known together at once. Large packages are loaded one after another, so that the program
// starts with few descriptors.
await import('zod')
await import('@gooseberryspan/core')
const { main } = await import('../main.js')

void main(process.argv)
