/** MessagePack encoder and decoder for messages between entries. */
import { Packr } from 'msgpackr/pack'

/** Encodes objects as plain maps, which entries of other versions can decode. */
export const packr = new Packr({ useRecords: false, mapsAsObjects: true })
