/** What entries say to each other about control. Each message may be lost, late, doubled or reordered. */
import type { AcceptedChange, AcceptedDocument } from '../configuration/revisions.js'
import type { ServerHandover } from '../limits/backendServer.js'
import type { View } from './view.js'

/** Asks a watcher not to evict the sender for a lease term. */
export interface PromiseRequest {
  kind: 'promise-request'
  incarnation: string
  view: number
  revision: number
  /** Numbers the sender's rounds of asking. */
  round: number
}

/** A watcher's word. It holds for `forMs` from when the request was sent. */
export interface PromiseAnswer {
  kind: 'promise'
  incarnation: string
  round: number
  granted: boolean
  forMs: number
  view: number
  revision: number
}

/** Asks the holder of a shard to stop dispatching for it. */
export interface ReleaseRequest {
  kind: 'release-request'
  shard: string
  /** Incarnation that the shard's row names. */
  incarnation: string
  /** Version of the shard's row that the sender read. */
  version: number
  view: number
}

/** The holder's word: it will not dispatch for the shard under that row version again. */
export interface Release {
  kind: 'release'
  shard: string
  version: number
  view: number
  servers: ServerHandover[]
}

/** The former holder's requests at a server, as they end. */
export interface Ended {
  kind: 'ended'
  server: string
  /** Requests of the sender that are still in flight there. */
  left: number
}

/** Tells a peer what the sender has, so that either may ask for what it lacks. */
export interface News {
  kind: 'news'
  view: number
  revision: number
}

/** Asks for what is newer than what the sender has. */
export interface Fetch {
  kind: 'fetch'
  view: number
  revision: number
}

/** What the receiver lacked. */
export interface CatchUp {
  kind: 'catch-up'
  view?: View
  changes?: AcceptedChange[]
  document?: AcceptedDocument
}

/** Every message between entries. */
export type PeerMessage = PromiseRequest | PromiseAnswer | ReleaseRequest | Release | Ended | News | Fetch | CatchUp
