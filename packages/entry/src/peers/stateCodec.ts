/** Encodes the state that entries exchange, replicas of store tables, as compressed MessagePack. */
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import type { PeerState } from '@gooseberryspan/core'
import { packr } from './packr.js'
import { peerStateSchema } from './peerRouter.js'

/** The rows of a table are similar: the fastest level already compresses them to a tenth. */
const COMPRESSION_LEVEL = 1
/** Limit on the decompressed size. It is enough for more than 10,000 servers. */
const MAX_STATE_BYTES = 16_777_216

/** Encodes and compresses a state. */
export function encodeState (state: PeerState): Buffer {
  return deflateRawSync(packr.pack(state), { level: COMPRESSION_LEVEL })
}

/** Decompresses, decodes and validates a state; throws if it is invalid. */
export function decodeState (data: Buffer): PeerState {
  const state: unknown = packr.unpack(inflateRawSync(data, { maxOutputLength: MAX_STATE_BYTES }))
  return peerStateSchema.parse(state)
}
