/**
 * A core machine is gone for good, and an empty one comes at another address. When that has had the time to catch up,
 * another core machine loses its disk. In the end the operator reads the configuration back.
 */
import { rmSync } from 'node:fs'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Client } from '../client.mjs'
import { Fleet, sleep } from '../fleet.mjs'
import { call } from '../instance.mjs'
import { configuration, put, route } from '../operator.mjs'
import { bringUp } from '../ready.mjs'
import { runCase } from '../record.mjs'

/** `replace_core`: after this time the empty machine comes. */
const SUCCESSOR_MILLISECONDS = 1_000
/** `catch-up` of the site is 4 s, counted from the start of the successor. */
const CAUGHT_UP_MILLISECONDS = 4_500
const DOWN_MILLISECONDS = 300
/** `contact` and `catch-up` after the last machine is back, and some more. */
const RECOVERED_MILLISECONDS = 8_000
/** `recover` of the site is 15 s. */
const READ_MILLISECONDS = 20_000

const documentOf = (version) => configuration(version, ['registro'], [route('r-27eya6u', '/lepu270/', 'safe', 'registro')])

await runCase(dirname(fileURLToPath(import.meta.url)), (record) => new Fleet(record, 'quitumbe-gateway'), async ({ fleet, record, isTroubled }) => {
  await bringUp({ fleet, record, fronts: 1, document: documentOf(7), instances: [{ service: 'registro' }, { service: 'registro' }] })
  const [lost, wiped, other] = fleet.cores
  await sleep(8_000)
  let control = fleet.cores.map((core) => core.control)
  if (isTroubled) {
    record.write('machine is gone for good', { node: lost.name })
    await fleet.kill(lost)
    await sleep(SUCCESSOR_MILLISECONDS)
    const successor = fleet.add('core', 3, `${fleet.net}.13`)
    fleet.seeds = [successor, wiped, other]
    control = fleet.seeds.map((core) => core.control)
    fleet.run(successor, false)
    await sleep(CAUGHT_UP_MILLISECONDS)
    if (!await put(record, control, documentOf(8), 2_000)) throw new Error('a change was not acknowledged before the second loss')
    record.write('machine loses its disk', { node: wiped.name })
    await fleet.kill(wiped)
    rmSync(wiped.data, { recursive: true })
    await sleep(DOWN_MILLISECONDS)
    fleet.run(wiped, false)
    await sleep(RECOVERED_MILLISECONDS)
  } else if (!await put(record, control, documentOf(8), 8_000)) throw new Error('a change was not acknowledged')
  const running = fleet.cores.filter(({ child }) => child.exitCode === null && child.signalCode === null).length
  record.write('read back begins', { coreMachinesRunning: running })
  let newest = 0
  const end = performance.now() + READ_MILLISECONDS
  for (let reads = 0; performance.now() < end && newest < 8; reads += 1) {
    const answer = await call(control[reads % control.length], 'GET', '/-/Config.Get', undefined, 1_000)
    record.write('configuration read', { at: control[reads % control.length], status: answer.status, text: answer.text.slice(0, 40) })
    if (answer.status === 200) newest = JSON.parse(answer.text).version
    await sleep(250)
  }
  const client = await Client.connect(record, 'client', fleet.fronts[0].front)
  const { status } = await client.send({ path: '/lepu270/1' })
  record.write('end of the day', { acknowledged: 8, readBack: newest, requestAnswered: status })
  return newest < 8
})
