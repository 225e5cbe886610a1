/** An entry process as a library, for the demo and the tests. */
export { HeaderNames } from './headers.js'
export { checkSettings, readSettings, settingsSchema, type Settings } from './settings.js'
export { startEntry, type EntryProcess, type EntryProcessOptions } from './wiring.js'
export type { TraceHead, TraceLine } from './runtime/eventRecorder.js'
export type { Status } from './runtime/status.js'
export { ClaimLedger } from './platform/claimLedger.js'
