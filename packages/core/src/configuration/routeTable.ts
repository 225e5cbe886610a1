/** Finds the route of a request. */
import type { Route } from './gateway.js'

/** Properties of a request that select its route. */
export interface RouteQuery {
  /** Host without its port, in lower case. */
  host: string
  /** Path and query. */
  path: string
  /** Any method when absent. */
  method?: string
  /** Name of the route that the caller requests. */
  routeName?: string
}

const ANY_HOST = '*'

/** Routes by host, sorted by descending prefix length. */
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

  /** Finds the matching route with the longest path prefix. Routes for the exact host come before routes for any host. */
  find (query: RouteQuery): Route | undefined {
    return this._findForHost(query.host, query) ?? this._findForHost(ANY_HOST, query)
  }

  /** Finds a matching route whose only service is the given one, regardless of the path. */
  findForService (service: string, query: RouteQuery): Route | undefined {
    for (const list of this._byHost.values()) {
      for (const route of list) {
        if (route.shares.length === 1 && route.shares[0]!.service === service && matches(route, query)) return route
      }
    }
    return undefined
  }

  private _findForHost (host: string, query: RouteQuery): Route | undefined {
    for (const route of this._byHost.get(host) ?? []) {
      if (!isUnderPrefix(query.path, route.prefix)) continue
      if (matches(route, query)) return route
    }
    return undefined
  }
}

/** Whether a route has the requested name or, without a requested name, accepts the method. */
function matches (route: Route, { method, routeName }: RouteQuery): boolean {
  if (routeName !== undefined) return routeName === route.name
  return method === undefined || !route.methods || route.methods.includes(method)
}

/** Whether a path equals the prefix or lies below it. */
function isUnderPrefix (path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false
  if (prefix.endsWith('/') || path.length === prefix.length) return true
  const next = path[prefix.length]
  return next === '/' || next === '?'
}
