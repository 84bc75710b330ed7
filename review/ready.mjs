/** Brings a small fleet up: processes, instances, a first configuration, and fronts that say that they are ready. */
import { get } from 'node:http'
import { Instance } from './instance.mjs'
import { until } from './fleet.mjs'
import { put } from './operator.mjs'

/** Whether a front says that it is ready. */
export function isReady (node) {
  return new Promise((resolve) => {
    get(`http://${node.ready}/-/readiness`, { agent: false, timeout: 1_000 }, (response) => {
      response.resume()
      resolve(response.statusCode === 200)
    }).on('error', () => resolve(false))
  })
}

/** Starts everything; throws if the fleet does not come up. */
export async function bringUp ({ fleet, record, fronts, document, instances }) {
  await fleet.start(fronts)
  const control = fleet.cores.map((node) => node.control)
  const started = []
  for (const [index, options] of instances.entries()) {
    started.push(await new Instance({ record, control, ip: `${fleet.net}.${50 + index}`, zone: fleet.zones[index % fleet.zones.length], ...options }).start())
  }
  if (!await put(record, control, document, 20_000)) throw new Error('the first configuration was not acknowledged')
  for (const front of fleet.fronts) {
    if (!await until(() => isReady(front), 20_000)) throw new Error(`${front.name} did not become ready`)
  }
  record.write('fleet is ready')
  return { control, instances: started }
}
