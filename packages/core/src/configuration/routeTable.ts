/** Finds the route of a request. */
import type { Route } from './gateway.js'

/** What a route is found by. */
export interface RouteQuery {
  /** Host without its port, in lower case. */
  host: string
  /** Path and query. */
  path: string
  /** Any method when absent. */
  method?: string
  /** Name of a route that the caller asks for. */
  named?: string
}

const ANY_HOST = '*'

/** Routes by host, the longest prefix first. */
export class RouteTable {
  private readonly _byHost = new Map<string, Route[]>()

  constructor (routes: readonly Route[]) {
    for (const route of routes) {
      const host = route.host ?? ANY_HOST
      const list = this._byHost.get(host)
      if (list) list.push(route)
      else this._byHost.set(host, [route])
    }
    for (const list of this._byHost.values()) list.sort((a, b) => b.prefix.length - a.prefix.length)
  }

  /** The route with the longest prefix that begins the path. */
  find (query: RouteQuery): Route | undefined {
    return this._findIn(query.host, query) ?? this._findIn(ANY_HOST, query)
  }

  /** A route that leads to one service only, whatever its path. */
  findOf (service: string, query: RouteQuery): Route | undefined {
    for (const list of this._byHost.values()) {
      for (const route of list) {
        if (route.shares.length === 1 && route.shares[0]!.service === service && treats(route, query)) return route
      }
    }
    return undefined
  }

  private _findIn (host: string, query: RouteQuery): Route | undefined {
    for (const route of this._byHost.get(host) ?? []) {
      if (!beginsWith(query.path, route.prefix)) continue
      if (treats(route, query)) return route
    }
    return undefined
  }
}

/** Whether a route treats requests of that method and name. */
function treats (route: Route, { method, named }: RouteQuery): boolean {
  if (named !== undefined) return named === route.name
  return method === undefined || !route.methods || route.methods.includes(method)
}

/** Whether a path is the prefix or lies below it. */
function beginsWith (path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false
  if (prefix.endsWith('/') || path.length === prefix.length) return true
  const next = path[prefix.length]
  return next === '/' || next === '?'
}
