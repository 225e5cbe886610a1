/** Probes of backend servers, only by their holder, only where answers say nothing, and within a budget. */
import type { Service } from '../configuration/document.js'
import type { Outbox } from '../effects.js'
import type { Invariants } from '../invariants.js'
import type { BackendServer } from '../limits/backendServer.js'
import { TokenBucket } from '../limits/tokenBucket.js'

const SILENT_MS = 5000

/** What was spent on one server since counting began. */
interface Account {
  bucket: TokenBucket
  since: number
  sent: number
}

/** Decides which servers are probed at a tick. */
export class Prober {
  private readonly _accounts = new Map<string, Account>()
  private readonly _outbox: Outbox
  private readonly _invariants: Invariants

  constructor (outbox: Outbox, invariants: Invariants) {
    this._outbox = outbox
    this._invariants = invariants
  }

  /** Probes the server if it is failing or silent and its budget allows it. */
  consider (server: BackendServer, service: Service, now: number): void {
    const silent = server.inFlight === 0 && now - server.lifeSignAt > SILENT_MS
    if (!server.failing && !silent) return
    const account = this._accountOf(server.place.id, service, now)
    if (!account.bucket.take(now)) return
    account.sent += 1
    const { ratePerSecond, burst } = account.bucket
    const allowed = burst + ratePerSecond * (now - account.since) / 1000
    this._invariants.check('measuring-budget', account.sent <= allowed + 1e-6,
      () => `${server.place.id} was probed ${account.sent} times, allowed ${allowed}`)
    this._outbox.put({ kind: 'probe', server: server.place })
  }

  /** The server is no longer this entry's. */
  forget (id: string): void {
    this._accounts.delete(id)
  }

  /** A new holder starts without tokens, so that two holders together stay within the budget. */
  private _accountOf (id: string, service: Service, now: number): Account {
    let account = this._accounts.get(id)
    const { probesPerSecond, burst } = service.measuring
    if (!account || account.bucket.ratePerSecond !== probesPerSecond || account.bucket.burst !== burst) {
      account = { bucket: new TokenBucket(probesPerSecond, burst, now), since: now, sent: 0 }
      account.bucket.empty()
      this._accounts.set(id, account)
    }
    return account
  }
}
