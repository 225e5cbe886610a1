/** Simulated platform store, backend servers and callers for tests, and the demo that uses them. */
export * from './backend/standInBackend.js'
export * from './backend/backendCounts.js'
export * from './caller/caller.js'
export * from './demo/demo.js'
export * from './demo/documents.js'
export * from './store/rowEngine.js'
export * from './store/storeServer.js'
