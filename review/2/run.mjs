/**
 * Core machines lose their disks, one after the other, while the leader is a machine that their seeds don't name.
 * Each is back with an empty disk long before the next one is hit. In the end the operator reads the configuration back.
 */
import { rmSync } from 'node:fs'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Client } from '../client.mjs'
import { Fleet, sleep, until } from '../fleet.mjs'
import { call } from '../instance.mjs'
import { configuration, put, route } from '../operator.mjs'
import { bringUp } from '../ready.mjs'
import { runCase } from '../record.mjs'

const SEEDS = 3
const LOST_DISKS = 4
const MAXIMUM_LEADER_KILLS = 5
const DOWN_MILLISECONDS = 300
/** `contact` and `catch-up` of the site, and some more. */
const RECOVERED_MILLISECONDS = 9_500
/** Time in which a killed leader is back and another one leads: `contact` and some more. */
const LED_MILLISECONDS = 4_000
/** The operator reads for this long at the end; `contact` is 3 s, `ack` is 4 s. */
const READ_MILLISECONDS = 10_000

const documentOf = (version) => configuration(version, ['loadsheet'], [route('r-27eya6u', '/lepu270/', 'safe', 'loadsheet')])

/** The machine that answers a read itself, and doesn't redirect it. */
async function findLeader (fleet) {
  for (const core of fleet.cores) {
    const answer = await call(core.control, 'GET', '/-/Config.Get', undefined, 1_000, 0)
    if (answer.status === 200) return core
  }
  return undefined
}

async function waitForLeader (fleet) {
  let leader
  await until(async () => { leader = await findLeader(fleet); return leader !== undefined }, 8_000)
  if (leader === undefined) throw new Error('no machine leads')
  return leader
}

/** Kills the leader (`node_kill`, how `leader`) until the one that leads is not among the seeds. */
async function moveLeader (fleet, record) {
  let leader = await waitForLeader(fleet)
  for (let kills = 0; fleet.cores.indexOf(leader) < SEEDS; kills += 1) {
    if (kills === MAXIMUM_LEADER_KILLS) throw new Error('only seeds came to lead')
    record.write('leader is killed', { node: leader.name })
    await fleet.kill(leader)
    await sleep(DOWN_MILLISECONDS)
    fleet.run(leader, false)
    await sleep(LED_MILLISECONDS)
    leader = await waitForLeader(fleet)
  }
  return leader
}

async function loseDisk (fleet, record, core) {
  record.write('machine loses its disk', { node: core.name })
  await fleet.kill(core)
  rmSync(core.data, { recursive: true })
  await sleep(DOWN_MILLISECONDS)
  fleet.run(core, false)
}

await runCase(dirname(fileURLToPath(import.meta.url)), (record) => new Fleet(record), async ({ fleet, record, isTroubled }) => {
  const { control } = await bringUp({ fleet, record, fronts: 1, document: documentOf(7), instances: [{ service: 'loadsheet' }, { service: 'loadsheet' }] })
  await sleep(LED_MILLISECONDS)
  if (isTroubled) {
    const leader = await moveLeader(fleet, record)
    record.write('leader that the seeds do not name', { node: leader.name })
    if (!await put(record, control, documentOf(8), 8_000)) throw new Error('a change was not acknowledged before the disks were lost')
    for (const core of fleet.cores.filter((other) => other !== leader).slice(0, LOST_DISKS)) {
      await loseDisk(fleet, record, core)
      await sleep(RECOVERED_MILLISECONDS)
    }
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
