/** A front is stopped with SIGTERM while clients have sent a second request behind the first; both are at work at instances. */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Client } from '../client.mjs'
import { Fleet, sleep } from '../fleet.mjs'
import { bringUp } from '../ready.mjs'
import { runCase } from '../record.mjs'
import { configuration, route } from '../operator.mjs'

const CLIENTS = 4
/** `contact`, within which there must be no unplanned disruption before the requests. */
const CALM_MILLISECONDS = 4_000
const GRACE_MILLISECONDS = 6_000

await runCase(dirname(fileURLToPath(import.meta.url)), (record) => new Fleet(record), async ({ fleet, record, isTroubled }) => {
  const work = ({ url }) => url.endsWith('/first') ? 500 : 900
  const { instances } = await bringUp({
    fleet,
    record,
    fronts: 2,
    document: configuration(7, ['loadsheet'], [route('r-27eya6u', '/lepu270/', 'safe', 'loadsheet')]),
    instances: [{ service: 'loadsheet', work }, { service: 'loadsheet', work }]
  })
  const front = fleet.fronts[0]
  const clients = []
  for (let index = 0; index < CLIENTS; index += 1) clients.push(await Client.connect(record, `client-${index}`, front.front))
  // The connections are kept: each has been used before.
  await Promise.all(clients.map((client) => client.send({ path: '/lepu270/first' })))
  await sleep(CALM_MILLISECONDS)
  const sent = clients.flatMap((client) => [client.send({ path: '/lepu270/first' }), client.send({ path: '/lepu270/second' })])
  await sleep(250)
  if (isTroubled) {
    record.write('SIGTERM', { node: front.name })
    front.child.kill('SIGTERM')
  }
  const answers = await Promise.all(sent)
  const passedOn = (id) => instances.some((instance) => instance.runs.has(id))
  const lost = answers.filter(({ status, id }) => status === 0 && passedOn(id))
  record.write('requests passed on to an instance whose connection ended without an answer', { lost: lost.length, of: answers.length })
  if (isTroubled) await sleep(GRACE_MILLISECONDS)
  return lost.length > 0
})
