/** Processes, channels and their supervision. */
export * from './channel.js'
export * from './errors.js'
export * from './supervisor.js'
