import type { Route } from '@hickoryspoke/configuration/desired-state'
import { matchSegments } from './path-normalisation.ts'

/** What the table needs to choose a route. `path` is in normal form, `host` as the caller sent it. */
export interface RouteQuestion {
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

/** Chooses a route by longest path prefix in whole segments; the cost grows with the segments of the path only. */
export class RouteTable {
  private constructor (private readonly roots: ReadonlyMap<string, RouteNode>) {}

  static create (routes: readonly Route[]): RouteTable {
    const roots = new Map<string, RouteNode>()
    for (const route of routes) addRoute(roots, route)
    return new RouteTable(roots)
  }

  /**
   * The route of a request. The longest path decides first, then a named host goes before any host;
   * a method that the longest path does not take finds no route, never a shorter path.
   */
  find (question: RouteQuestion): Route | undefined {
    const segments = matchSegments(question.path)
    const named = this.deepest(hostName(question.host), segments)
    const general = this.deepest(ANY_HOST, segments)
    const method = question.method === 'HEAD' ? 'GET' : question.method
    if (named.depth > general.depth) return chooseByMethod(named.routes, question.method, method)
    if (named.depth < general.depth) return chooseByMethod(general.routes, question.method, method)
    return chooseByMethod([...named.routes, ...general.routes], question.method, method)
  }

  private deepest (host: string, segments: readonly string[]): NodeMatch {
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

/** Whether a request on this route may be repeated: as the route says, else by the method. */
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
  const known = nodes.get(name)
  if (known !== undefined) return known
  const created: RouteNode = { children: new Map(), routes: [] }
  nodes.set(name, created)
  return created
}

function chooseByMethod (routes: readonly Route[], exact: string, equivalent: string): Route | undefined {
  const naming = routes.find((route) => route.methods?.includes(exact) === true || route.methods?.includes(equivalent) === true)
  return naming ?? routes.find((route) => route.methods === undefined)
}

/** A host in small letters without its port and its closing dot. */
function hostName (host: string): string {
  return host.toLowerCase().replace(/:\d*$/, '').replace(/\.$/, '')
}
