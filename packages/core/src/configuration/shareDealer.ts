/** Deals a route's requests to services in the proportion of their weights. */
import type { Random } from '../random.js'
import type { Route } from './gateway.js'

/** How far each share of a route is behind what it is due. */
interface Deal {
  key: string
  credits: number[]
}

/** Smooth weighted round robin: after any number of requests each share has its part, to within one request. */
export class ShareDealer {
  private readonly _deals = new Map<string, Deal>()
  private readonly _random: Random

  constructor (random: Random) {
    this._random = random
  }

  /** The service of the route's next request. */
  next (route: Route): string {
    const { shares } = route
    if (shares.length === 1) return shares[0]!.service
    const { credits } = this._dealOf(route)
    const total = shares.reduce((sum, share) => sum + share.weight, 0)
    let best = 0
    for (const [index, share] of shares.entries()) {
      credits[index]! += share.weight
      if (credits[index]! > credits[best]!) best = index
    }
    credits[best]! -= total
    return shares[best]!.service
  }

  /** Entries begin at different points, so that a few requests at each do not all go to the same service. */
  private _dealOf (route: Route): Deal {
    const key = JSON.stringify(route.shares)
    const known = this._deals.get(route.name)
    if (known?.key === key) return known
    const deal = { key, credits: route.shares.map(({ weight }) => weight * this._random.next()) }
    this._deals.set(route.name, deal)
    return deal
  }
}
