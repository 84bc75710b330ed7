import type { Route } from '@hickoryspoke/configuration/desired-state'
import { matchSegments } from './path-normalisation.ts'

/** Input of a route lookup. `path` is normalised; `host` is as the caller sent it. */
export interface RouteQuery {
  readonly path: string
  readonly method: string
  readonly host: string
}

interface RouteNode {
  readonly children: Map<string, RouteNode>
  readonly routes: Route[]
}

interface NodeMatch {
  readonly depth: number
  readonly routes: readonly Route[]
}

const NO_MATCH: NodeMatch = { depth: -1, routes: [] }
const ANY_HOST = ''

/** Finds routes by longest path prefix, compared by whole segments. The cost of a lookup depends on the length of the path only. */
export class RouteTable {
  private constructor (private readonly roots: ReadonlyMap<string, RouteNode>) {}

  static create (routes: readonly Route[]): RouteTable {
    const roots = new Map<string, RouteNode>()
    for (const route of routes) addRoute(roots, route)
    return new RouteTable(roots)
  }

  /**
   * Finds the route of a request. The longest path wins; at equal length, a route for the host precedes one for any host.
   * If no route at the longest path accepts the method, there is no match; shorter paths are not tried.
   */
  find (question: RouteQuery): Route | undefined {
    const segments = matchSegments(question.path)
    const hostMatch = this.deepestMatch(hostName(question.host), segments)
    const anyHostMatch = this.deepestMatch(ANY_HOST, segments)
    const method = question.method === 'HEAD' ? 'GET' : question.method
    if (hostMatch.depth > anyHostMatch.depth) return chooseByMethod(hostMatch.routes, question.method, method)
    if (hostMatch.depth < anyHostMatch.depth) return chooseByMethod(anyHostMatch.routes, question.method, method)
    return chooseByMethod([...hostMatch.routes, ...anyHostMatch.routes], question.method, method)
  }

  private deepestMatch (host: string, segments: readonly string[]): NodeMatch {
    let node = this.roots.get(host)
    if (node === undefined) return NO_MATCH
    let match = node.routes.length > 0 ? { depth: 0, routes: node.routes } : NO_MATCH
    for (let depth = 0; depth < segments.length; depth += 1) {
      node = node.children.get(segments[depth] as string)
      if (node === undefined) return match
      if (node.routes.length > 0) match = { depth: depth + 1, routes: node.routes }
    }
    return match
  }
}

/** Whether a request may be repeated. The setting of the route takes precedence over the method. */
export function isIdempotent (route: Route, method: string): boolean {
  return route.idempotent ?? IDEMPOTENT_METHODS.has(method)
}

const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE'])

function addRoute (roots: Map<string, RouteNode>, route: Route): void {
  const host = route.host === undefined ? ANY_HOST : hostName(route.host)
  let node = childOf(roots, host)
  for (const segment of matchSegments(route.path)) node = childOf(node.children, segment)
  node.routes.push(route)
}

function childOf (nodes: Map<string, RouteNode>, name: string): RouteNode {
  const existing = nodes.get(name)
  if (existing !== undefined) return existing
  const created: RouteNode = { children: new Map(), routes: [] }
  nodes.set(name, created)
  return created
}

function chooseByMethod (routes: readonly Route[], exact: string, equivalent: string): Route | undefined {
  const explicit = routes.find((route) => route.methods?.includes(exact) === true || route.methods?.includes(equivalent) === true)
  return explicit ?? routes.find((route) => route.methods === undefined)
}

/** Normalises a host: lower case, without port and trailing dot. */
function hostName (host: string): string {
  return host.toLowerCase().replace(/:\d*$/, '').replace(/\.$/, '')
}
