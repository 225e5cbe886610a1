/** Store client: interface of the platform's store and its implementation over HTTP. */
export * from './configurationStore.js'
export * from './errors.js'
export * from './httpClient.js'
export * from './httpStore.js'
export * from './defaultStoreProtocol.js'
export * from './defaultRowReader.js'
export * from './protocol.js'
export * from './store.js'
