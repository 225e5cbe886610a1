/** Communicating sequential processes: channels, processes and supervisors. */
export * from './channel.js'
export * from './errors.js'
export * from './supervisor.js'
