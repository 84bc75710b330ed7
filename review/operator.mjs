/** The operator: puts configurations, and sends a call without a clear answer again, to another machine. */
import { call } from './instance.mjs'
import { sleep } from './fleet.mjs'

export const HOST = 'jepu9.example'
export const KEY = 'ctnfzs989anu6wsjnban'

/** A route in the words of the pages. */
export function route (name, prefix, kind, service, terms = {}) {
  return {
    name, 'path-prefix': prefix, kind, timeout: '5000ms', 'target-latency': '2000ms', priority: 1, service, 'max-attempts': 2, public: false, ...terms
  }
}

/** A whole configuration. */
export function configuration (version, services, paths, terms = {}) {
  return {
    version,
    services: services.map((name) => ({ name, 'health-path': '/health', 'max-connections': 390, protocol: 'h1', tls: false })),
    limits: { 'max-header-bytes': 16384, 'max-body-bytes': 67108864, 'header-timeout': '3000ms', 'idle-timeout': '15000ms' },
    tenants: [{ name: 'sese880', 'api-keys': [KEY], priority: 1, 'rate-per-s': 0, burst: 0, ...terms }],
    hosts: [{ host: HOST, paths }]
  }
}

/** Puts a configuration until it is acknowledged; false when it is not in time. */
export async function put (record, control, document, timeoutMilliseconds, callMilliseconds = 1_000) {
  const content = JSON.stringify(document)
  const end = performance.now() + timeoutMilliseconds
  let pause = 100
  for (let tries = 0; performance.now() < end; tries += 1) {
    const address = control[tries % control.length]
    const answer = await call(address, 'POST', '/-/Config.Put', content, Math.min(callMilliseconds, Math.max(1, end - performance.now())))
    record.write('configuration put', { version: document.version, bytes: content.length, at: address, status: answer.status, text: answer.text.slice(0, 80) })
    if (answer.status === 200) return true
    await sleep(pause)
    pause = Math.min(1_000, pause * 2)
  }
  return false
}
