import { type RandomSource, pickOne, randomBelow, SeededRandom } from '@hickoryspoke/runtime/random'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { TestCluster } from './test-cluster.ts'

const THREE = ['alpha', 'beta', 'gamma']
const FIVE = [...THREE, 'delta', 'epsilon']
const ROUNDS = 30
const LONGEST_PAUSE_MILLISECONDS = 1_500
const SMALL = { snapshotEntries: 10, segmentBytes: 600, retainedBytes: 100, chunkBytes: 64, proposalTimeoutMilliseconds: LONGEST_PAUSE_MILLISECONDS }

type Fault = (cluster: TestCluster, random: RandomSource) => Promise<void>

/** Replaces the disk of one replica and waits until it has a vote again; no other replica fails meanwhile. */
async function replaceOneDisk (cluster: TestCluster, random: RandomSource): Promise<void> {
  const lost = pickOne(random, cluster.names)
  cluster.network.healAll()
  await cluster.loseDisk(lost)
  await cluster.boot(lost, pickOne(random, ['join', 'form'] as const))
  await cluster.until(() => cluster.node(lost).replica.role() !== 'learner')
  await cluster.until(() => cluster.leaderName() !== undefined && voterCount(cluster) === cluster.names.length, 60_000)
}

function voterCount (cluster: TestCluster): number {
  return cluster.leader().status().members.filter((member) => member.voter).length
}

const FAULTS: readonly Fault[] = [
  async () => {},
  async (cluster, random) => cluster.network.cut(pickOne(random, cluster.names), pickOne(random, cluster.names)),
  async (cluster, random) => cluster.network.cut(pickOne(random, cluster.names), pickOne(random, cluster.names)),
  async (cluster) => cluster.network.healAll(),
  async (cluster, random) => {
    const victim = pickOne(random, cluster.names)
    await cluster.crash(victim)
    await cluster.boot(victim)
  },
  async (cluster, random) => {
    const victim = pickOne(random, cluster.names)
    await cluster.stop(victim)
    await cluster.boot(victim)
  },
  replaceOneDisk
]

/** Proposes a command at every replica that believes it is the leader. Returns the confirmed commands. */
async function proposeAtLeaders (cluster: TestCluster, round: number): Promise<string[]> {
  const confirmed: string[] = []
  for (const leader of cluster.leaders()) {
    const command = `${round} ${leader}`
    if ((await cluster.propose(command, cluster.node(leader).replica)).isOk()) confirmed.push(command)
  }
  return confirmed
}

for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
  test(`message loss and duplication, one-way link cuts, crashes, restarts and lost disks lose no confirmed command (seed ${seed})`, async () => {
    const random = SeededRandom.create(seed)
    const cluster = await TestCluster.formed(seed % 2 === 0 ? THREE : FIVE, seed, SMALL)
    cluster.network.settings = { ...cluster.network.settings, lossProbability: 0.05, duplicateProbability: 0.05, jitterMilliseconds: 8 }
    const confirmed: string[] = []
    for (let round = 0; round < ROUNDS; round += 1) {
      await pickOne(random, FAULTS)(cluster, random)
      confirmed.push(...await proposeAtLeaders(cluster, round))
      await cluster.advance(randomBelow(random, LONGEST_PAUSE_MILLISECONDS))
    }
    cluster.network.healAll()
    cluster.network.settings = { ...cluster.network.settings, lossProbability: 0 }
    await cluster.until(() => cluster.leaders().length === 1)
    await cluster.advance(6_000)
    assert.ok(confirmed.length >= ROUNDS / 3, `${confirmed.length} confirmed`)
    for (const name of cluster.names) {
      assert.equal(cluster.commands(name), cluster.commands(cluster.leaderName() as string))
      assert.equal(cluster.commands(name).filter((command) => confirmed.includes(command)), confirmed)
    }
    await cluster.destroy()
  })
}

test.run()
