/** Orders of roll-outs in the store. */
import { ROLLOUT_PREFIX, rolloutSchema, type RolloutRequest } from './defaultRowReader.js'
import type { Store } from './store.js'

const TABLE = 'declarations'

/** Writes and withdraws the orders of roll-outs. The status of each is part of an entry's status. */
export class RolloutOrders {
  private readonly _store: Store

  constructor (store: Store) {
    this._store = store
  }

  /** Orders that a service is moved to a software version, in place of an earlier order for the service. */
  async place (request: RolloutRequest): Promise<void> {
    const put = { table: TABLE, key: ROLLOUT_PREFIX + request.service, value: JSON.stringify(request) }
    await this._store.transact({ conditions: [], puts: [put], removes: [] })
  }

  /** Withdraws the order for a service. A roll-out that has not ended is taken back. */
  async withdraw (service: string): Promise<void> {
    await this._store.transact({ conditions: [], puts: [], removes: [{ table: TABLE, key: ROLLOUT_PREFIX + service }] })
  }
}

/** Returns the order in a request's body, or undefined if it is not valid. */
export function parseRolloutRequest (text: string): RolloutRequest | undefined {
  try {
    return rolloutSchema.safeParse(JSON.parse(text)).data
  } catch {
    return undefined
  }
}
