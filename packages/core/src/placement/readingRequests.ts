/** Requests load readings of servers, so that requests are placed on recent ones. */
import type { RegisteredServer } from '../discovery/registeredServer.js'
import type { Candidate } from './candidates.js'
import type { LimitedRates } from './limitedRates.js'
import type { LoadReadingPolicy } from './loadReadingPolicy.js'
import type { WaitingRequest } from './requestQueue.js'
import type { ServerRecord } from './serverRecord.js'

export interface ReadingRequestsOptions {
  rates: LimitedRates
  policy: () => LoadReadingPolicy
  /** Whether a server may be probed now. */
  mayProbe: (server: RegisteredServer, now: number) => boolean
  /** Requests a probe of the server. */
  probe: (server: RegisteredServer) => void
}

/** Slightly longer than a network round trip between zones. */
const LOAD_READING_TIMEOUT_MS = 6

export class ReadingRequests {
  private readonly _options: ReadingRequestsOptions

  constructor (options: ReadingRequestsOptions) {
    this._options = options
  }

  /** Requests load readings if the one of the best candidate is not fresh. Returns whether the request waits for readings. */
  awaitsReadings (waiting: WaitingRequest, candidates: Candidate[], now: number): boolean {
    const { readings, maxRounds } = this._options.policy()
    if (readings === 0) return false
    if (now < waiting.awaitReadingsUntil && candidates.some(({ record }) => record.probedAt !== undefined)) return true
    if (waiting.readingRounds >= maxRounds || candidates[0]!.fresh) return false
    const candidatesToRead = candidates.filter((candidate) => this._isWorthReading(candidate, now)).slice(0, readings)
    if (candidatesToRead.length === 0) return false
    waiting.readingRounds += 1
    waiting.awaitReadingsUntil = now + LOAD_READING_TIMEOUT_MS
    for (const { record } of candidatesToRead) this.read(record, now)
    return true
  }

  /** Probes a server for its load, unless that may not be done now. A reading of a server with a limit counts as a request. */
  read (record: ServerRecord, now: number): void {
    const { rates } = this._options
    if (!this._mayProbe(record, now) || rates.waitMs(record.entry, now) > 0) return
    rates.spend(record.entry)
    this.probe(record, now)
  }

  /** Probes a server, unless that may not be done now. */
  probe (record: ServerRecord, now: number): void {
    if (!this._mayProbe(record, now)) return
    record.probedAt = now
    this._options.probe(record.entry)
  }

  /** A server with a limit is read only to learn whether it has become cold, since its load is low. */
  private _isWorthReading ({ record, fresh, unverified }: Candidate, now: number): boolean {
    if (fresh || !this._mayProbe(record, now)) return false
    return unverified || this._options.rates.perMs(record.entry) === undefined
  }

  private _mayProbe ({ probedAt, entry }: ServerRecord, now: number): boolean {
    return probedAt === undefined && this._options.mayProbe(entry, now)
  }
}
