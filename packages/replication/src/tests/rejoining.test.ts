import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { TestCluster } from './test-cluster.ts'

const SEEDS = ['alpha', 'beta', 'gamma']
const SIX = [...SEEDS, 'delta', 'epsilon', 'zeta']
const REJOIN_LIMIT_MILLISECONDS = 6_000

/** Forms a cluster of the seeds, which the other replicas join. All settings name the seeds only. */
async function createOpenCluster (names: readonly string[], seed: number, minimumVoters: number): Promise<TestCluster> {
  const cluster = await TestCluster.create(names, seed)
  cluster.peersInSettings = SEEDS
  cluster.openMembership = { minimumVoters }
  for (const name of names) await cluster.boot(name, SEEDS.includes(name) ? 'form' : 'join')
  await cluster.until(() => cluster.leaderName() !== undefined && votersOf(cluster).length === names.length)
  return cluster
}

function votersOf (cluster: TestCluster): string[] {
  return cluster.leader().status().members.filter((member) => member.voter).map((member) => member.name).sort()
}

/** Restarts the leader until a replica leads that the settings do not name. */
async function moveLeaderAwayFromSeeds (cluster: TestCluster): Promise<void> {
  for (let restarts = 0; restarts < 20; restarts += 1) {
    const leader = cluster.leaderName() as string
    if (!SEEDS.includes(leader)) return
    await cluster.crash(leader)
    await cluster.until(() => cluster.leaderName() !== undefined)
    await cluster.boot(leader)
    await cluster.advance(1_000)
  }
  throw new Error('only seeds came to lead')
}

async function hasVote (cluster: TestCluster, name: string): Promise<boolean> {
  await cluster.advance(REJOIN_LIMIT_MILLISECONDS)
  return cluster.node(name).replica.role() === 'follower' && cluster.leaderName() !== undefined
}

// Guards against the loss of the quorum by disks lost one after the other: a replica that announced itself to the seeds
// only was never added by a leader that is not among them.
test('replicas that lose their disks one after the other get their votes back from a leader that no seed names', async () => {
  const cluster = await createOpenCluster(SIX, 41, 5)
  await moveLeaderAwayFromSeeds(cluster)
  const leader = cluster.leaderName() as string
  for (const name of SIX.filter((other) => other !== leader).slice(0, 4)) {
    await cluster.loseDisk(name)
    await cluster.boot(name, 'join')
    assert.ok(await hasVote(cluster, name), `${name} has no vote`)
  }
  assert.equal(votersOf(cluster), [...SIX].sort())
  assert.ok((await cluster.propose('after the losses')).isOk())
  await cluster.destroy()
})

// Guards the same path for a replica that was removed while it was silent and comes back with its disk.
test('a replica that was removed while it was away rejoins with its old data under a leader that no seed names', async () => {
  const cluster = await createOpenCluster(SIX, 42, 5)
  await moveLeaderAwayFromSeeds(cluster)
  const away = SEEDS[0] as string
  await cluster.crash(away)
  await cluster.until(() => !votersOf(cluster).includes(away), 60_000)
  await cluster.boot(away)
  assert.ok(await hasVote(cluster, away))
  await cluster.destroy()
})

// Guards against seeds that no longer exist: a replica keeps the names that it learned from members.
test('a replica joins although its settings name a single member, which does not lead', async () => {
  const cluster = await createOpenCluster(SIX, 43, 5)
  await moveLeaderAwayFromSeeds(cluster)
  cluster.peersInSettings = ['alpha', 'gone-1', 'gone-2']
  await cluster.boot('newcomer', 'join')
  assert.ok(await hasVote(cluster, 'newcomer'))
  await cluster.destroy()
})

// Guards against an answer with the set that formed the cluster, which names none of the replicas that joined later.
test('a founder that was away while the whole set changed rejoins with its old data', async () => {
  const cluster = await createOpenCluster(SEEDS, 44, 3)
  await cluster.crash('alpha')
  for (const name of ['delta', 'epsilon']) await cluster.boot(name, 'join')
  await cluster.until(() => cluster.leaderName() !== undefined && !votersOf(cluster).includes('alpha') && votersOf(cluster).length === 4, 60_000)
  await moveLeaderAwayFromSeeds(cluster)
  await cluster.boot('alpha')
  assert.ok(await hasVote(cluster, 'alpha'))
  await cluster.destroy()
})

// Guards against a change of the set without end: a leader remembered every replica that had ever asked to join.
test('a replica that joined and is gone for good is removed once and not added again', async () => {
  const cluster = await createOpenCluster(SEEDS, 45, 3)
  await cluster.boot('newcomer', 'join')
  assert.ok(await hasVote(cluster, 'newcomer'))
  await cluster.crash('newcomer')
  await cluster.until(() => votersOf(cluster).length === 3, 60_000)
  const changes = (): number => cluster.events.filter(({ name, event }) => name === cluster.leaderName() && event.kind === 'replica_set_changed').length
  const before = changes()
  await cluster.advance(90_000)
  assert.is(changes(), before)
  assert.equal(cluster.leader().status().joiners, [])
  await cluster.destroy()
})

// The same for a follower that heard the replica once and leads later.
test('a new leader does not add a replica that asked to join long ago', async () => {
  const cluster = await createOpenCluster(SEEDS, 46, 3)
  await cluster.boot('newcomer', 'join')
  assert.ok(await hasVote(cluster, 'newcomer'))
  await cluster.crash('newcomer')
  await cluster.until(() => cluster.leader().status().members.length === 3, 60_000)
  const leader = cluster.leaderName() as string
  await cluster.crash(leader)
  await cluster.boot(leader)
  await cluster.until(() => cluster.leaderName() !== undefined && cluster.leaderName() !== leader)
  await cluster.advance(10_000)
  assert.is(cluster.leader().status().members.length, 3)
  await cluster.destroy()
})

test.run()
