/** Exports the operator's command-line tool as a library for the tests. */
export { run } from './program.js'
export { EXIT } from './errors.js'
