/** Runs a case within its time, writes its record and ends everything that it started. */
import { rmSync, appendFileSync } from 'node:fs'
import { join } from 'node:path'
import { Fleet } from './fleet-2.mjs'

const LIMIT_MILLISECONDS = 110_000

/** Whether the disruption takes place. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0'

/**
 * Runs `play`, which returns the list of what broke the rule; throws if the case could not run. Exits with 1 if the rule was
 * broken, with 0 if it held, and with 2 if the case could not run.
 */
export async function runCase (folder, fleetOptions, play) {
  const file = join(folder, 'record.txt')
  rmSync(file, { force: true })
  const begun = Date.now()
  const record = (event) => appendFileSync(file, `${JSON.stringify({ at: Date.now() - begun, ...event })}\n`)
  const fleet = new Fleet(fleetOptions)
  const cleanups = []
  const timer = setTimeout(() => finish(2, 'the case took too long'), LIMIT_MILLISECONDS)
  let isFinished = false
  const finish = async (code, text) => {
    if (isFinished) return
    isFinished = true
    clearTimeout(timer)
    record({ kind: 'end', code, text, trouble: HAS_TROUBLE })
    console.log(text)
    for (const cleanup of cleanups) await cleanup()
    await fleet.stop()
    process.exit(code)
  }
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => finish(2, `ended by ${signal}`))
  process.on('uncaughtException', (thrown) => finish(2, `the case could not run: ${thrown.stack ?? thrown}`))
  try {
    await fleet.start()
    const broken = await play({ fleet, record, onEnd: (task) => cleanups.push(task) })
    if (broken.length === 0) return await finish(0, 'the rule held')
    for (const one of broken) record({ kind: 'broken', ...one })
    await finish(1, `the rule was broken ${broken.length} times, first: ${JSON.stringify(broken[0])}`)
  } catch (thrown) {
    await finish(2, `the case could not run: ${thrown.stack ?? thrown}`)
  }
}

/** The configuration of a small deployment. */
export function configuration (version, { services = ['withdrawals'], routes, tenants, limits = {} }) {
  return JSON.stringify({
    version,
    services: services.map((name) => ({ name, 'health-path': '/health', 'max-connections': 390, protocol: 'h1', tls: false })),
    limits: { 'max-header-bytes': 16_384, 'max-body-bytes': 67_108_864, 'header-timeout': '3000ms', 'idle-timeout': '15000ms', ...limits },
    ...(tenants === undefined ? {} : { tenants }),
    hosts: [{ host: 'vault.example', paths: routes }]
  })
}

export function route (name, prefix, service, kind, more = {}) {
  return { name, 'path-prefix': prefix, kind, timeout: '6000ms', 'target-latency': '2000ms', priority: 1, service, 'max-attempts': 2, public: false, ...more }
}
