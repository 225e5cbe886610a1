/** The platform's services and their HTTP clients. */
export * from './configurationStore.js'
export * from './errors.js'
export * from './httpClient.js'
export * from './httpPlatform.js'
export * from './memberStore.js'
export * from './services.js'
