/** Distributes the requests of a route among services in proportion to their weights. */
import type { Random } from '../random.js'
import type { Route } from './gateway.js'

/** For each share of a route, the requests that it is still owed (its credit). */
interface PickerState {
  key: string
  credits: number[]
}

/** Smooth weighted round robin: after any number of requests, each share has its proportion of them, to within one request. */
export class WeightedPicker {
  private readonly _states = new Map<string, PickerState>()
  private readonly _random: Random

  constructor (random: Random) {
    this._random = random
  }

  /** Picks the service for the next request of a route. */
  next (route: Route): string {
    const { shares } = route
    if (shares.length === 1) return shares[0]!.service
    const { credits } = this._stateOf(route)
    const total = shares.reduce((sum, share) => sum + share.weight, 0)
    let best = 0
    for (const [index, share] of shares.entries()) {
      credits[index]! += share.weight
      if (credits[index]! > credits[best]!) best = index
    }
    credits[best]! -= total
    return shares[best]!.service
  }

  /** Starts with random credits, so that the first few requests at each entry do not all go to the same service. */
  private _stateOf (route: Route): PickerState {
    const key = JSON.stringify(route.shares)
    const current = this._states.get(route.name)
    if (current?.key === key) return current
    const state = { key, credits: route.shares.map(({ weight }) => weight * this._random.next()) }
    this._states.set(route.name, state)
    return state
  }
}
