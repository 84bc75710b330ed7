/** Settings files of the platform's processes and the configurations of a stop soak. */
import { stringify } from 'smol-toml'

/** Time from the stop signal until a process is killed. */
export const GRACE_MILLISECONDS = 6_000
/** Time after a disturbance during which it may still have effects. */
export const CONTACT_MILLISECONDS = 3_000
/** Timeout of the routes. */
export const ROUTE_TIMEOUT_MILLISECONDS = 5_000
export const CALLER_HOST = 'soak.example'
export const CALLER_KEY = 'key-of-the-stop-soak'
export const REPEATABLE_PREFIX = '/repeatable/'
export const SINGLE_PREFIX = '/single/'
/** Pools of the upstreams: the first is for requests that may be repeated. */
export const POOLS = ['soak-repeatable', 'soak-single'] as const

const ADDED_ROUTES = 7
const REGION = 'north'

/** Names, addresses and ports of a process. The ports are the same at the addresses of all processes. */
export interface ProcessPlace {
  readonly role: 'front' | 'core'
  readonly name: string
  readonly ip: string
  readonly zone: string
  readonly folder: string
}

export interface FleetPorts {
  readonly callers: number
  readonly readiness: number
  readonly control: number
  readonly inner: number
}

/** The text of a process's settings file. */
export function settingsText (place: ProcessPlace, ports: FleetPorts, seeds: readonly string[], isFirstStart: boolean): string {
  const isControl = place.role === 'core'
  return stringify({
    self: {
      'node-name': place.name,
      role: place.role,
      'machine-class': place.role,
      serves: [isControl ? 'control' : 'front'],
      ip: place.ip,
      zone: place.zone,
      region: REGION,
      'in-failure-budget': isControl,
      bootstrap: isFirstStart,
      ...(isControl ? { 'data-dir': place.folder } : {})
    },
    network: {
      'internal-port-range': [ports.inner, ports.inner],
      seeds: [...seeds],
      listen: isControl
        ? { control: `${place.ip}:${ports.control}` }
        : { front: `${place.ip}:${ports.callers}`, ready: `${place.ip}:${ports.readiness}` }
    },
    provider: { discovery: 'registration', entry: 'vip', heartbeat: '1500ms', 'config-mode': 'highest' },
    terms: {
      'fault-tolerance': { machines: 1, zones: 0, regions: 0 },
      bounds: {
        grace: `${GRACE_MILLISECONDS}ms`,
        contact: `${CONTACT_MILLISECONDS}ms`,
        'catch-up': '4s',
        drain: '2000ms',
        'config-apply': '2000ms',
        revoke: '5000ms',
        'retry-budget-ratio': 0.2,
        'retry-window': '10s',
        'retry-slack': 62,
        'quota-window': '5s',
        'quota-overage': 0.1,
        'quota-slack': 20,
        'floor-share': 0.7
      }
    }
  })
}

/** A whole configuration. Versions differ in the routes that they add. */
export function configurationDocument (version: number): string {
  const [repeatable, single] = POOLS
  const added = Array.from({ length: version % ADDED_ROUTES }, (_, index) => route(`added-${index}`, `/added-${index}/`, 'safe', repeatable))
  return JSON.stringify({
    version,
    services: POOLS.map((name) => ({ name, 'health-path': '/health', 'max-connections': 400 })),
    limits: { 'max-header-bytes': 16_384, 'max-body-bytes': 1_048_576, 'header-timeout': '3000ms', 'idle-timeout': '15000ms' },
    tenants: [{ name: 'soak', 'api-keys': [CALLER_KEY], priority: 1, 'rate-per-s': 0, burst: 0 }],
    hosts: [{
      host: CALLER_HOST,
      paths: [route('repeatable', REPEATABLE_PREFIX, 'safe', repeatable), route('single', SINGLE_PREFIX, 'unsafe', single), ...added]
    }]
  })
}

function route (name: string, prefix: string, kind: string, service: string): Record<string, unknown> {
  const times = { timeout: `${ROUTE_TIMEOUT_MILLISECONDS}ms`, 'target-latency': '2000ms' }
  return { name, 'path-prefix': prefix, kind, ...times, priority: 1, service, 'max-attempts': 2, public: false }
}
