/** The load model, measurements and replay. */
export * from './model/virtualTime.js'
export { chainAmplification } from './measure/chain.js'
export { POLICIES, runScenario } from './measure/decisions.js'
export * from './model/scenario.js'
export { settingsReference } from './reference/settingsReference.js'
export { differences, replayTrace, type Replay, type Statement } from './replay/replayTrace.js'
