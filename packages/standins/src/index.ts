/** Stand-ins for the platform, backend servers and callers, and the demo on top of them. */
export * from './backend/backendServer.js'
export * from './backend/backendTruth.js'
export * from './caller/caller.js'
export * from './demo/demo.js'
export * from './demo/documents.js'
export * from './store/rowEngine.js'
export * from './store/storeServer.js'
