/** Stand-ins for the platform, backend servers and callers, and the demo on top of them. */
export * from './backend/backendServer.js'
export * from './backend/backendTruth.js'
export * from './caller/caller.js'
export * from './demo/demo.js'
export * from './demo/documents.js'
export * from './platform/instanceBook.js'
export * from './platform/platformServer.js'
export * from './platform/tableEngine.js'
