/** The load model, measurements and replay. */
export { chainAmplification } from './measure/chain.js'
export * from './model/virtualTime.js'
export * from './placing/noisyBackend.js'
export * from './placing/placingModel.js'
export * from './placing/plan.js'
export * from './placing/tallySheet.js'
export { settingsReference } from './reference/settingsReference.js'
export { differences, replayTrace, type Replay, type Statement } from './replay/replayTrace.js'
