import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { TestCluster } from './test-cluster.ts'

const THREE = ['alpha', 'beta', 'gamma']
const SMALL = { snapshotEntries: 10, segmentBytes: 500, retainedBytes: 0, chunkBytes: 64 }

function votersOf (cluster: TestCluster): string[] {
  return cluster.leader().status().members.filter((member) => member.voter).map((member) => member.name).sort()
}

async function proposeMany (cluster: TestCluster, prefix: string, count: number): Promise<string[]> {
  const commands = Array.from({ length: count }, (_, at) => `${prefix} ${at}`)
  for (const command of commands) assert.ok((await cluster.propose(command)).isOk())
  return commands
}

/** Crashes a follower and removes its disk. Returns its name. */
async function loseFollowerDisk (cluster: TestCluster): Promise<string> {
  const lost = cluster.followers()[0] as string
  await cluster.loseDisk(lost)
  return lost
}

test('a replica with an empty folder does not start unless the settings allow it', async () => {
  const cluster = await TestCluster.formed(THREE, 21)
  const lost = await loseFollowerDisk(cluster)
  const { opened } = await cluster.open(lost)
  assert.is((opened.unwrapErr() as { code?: string }).code, 'empty_folder')
  await cluster.destroy()
})

for (const setting of ['join', 'form'] as const) {
  test(`a replica that lost its disk rejoins as learner, catches up by snapshot, and its new vote replaces the old one (${setting})`, async () => {
    const cluster = await TestCluster.formed(THREE, 22, SMALL)
    const commands = await proposeMany(cluster, 'change', 35)
    const lost = await loseFollowerDisk(cluster)
    await cluster.boot(lost, setting)
    assert.is(cluster.node(lost).replica.role(), 'learner')
    await cluster.until(() => cluster.node(lost).replica.role() === 'follower')
    await cluster.advance(2_000)
    assert.equal(cluster.commands(lost), commands)
    assert.equal(votersOf(cluster), THREE)
    assert.is(cluster.leader().status().members.length, 3)
    assert.ok(cluster.events.some(({ name, event }) => name === lost && event.kind === 'snapshot_installed'))
    await cluster.destroy()
  })
}

test('losing a second VM right after a repair loses no confirmed command, and the cluster continues', async () => {
  const cluster = await TestCluster.formed(THREE, 23, SMALL)
  const before = await proposeMany(cluster, 'before', 25)
  const lost = await loseFollowerDisk(cluster)
  await cluster.boot(lost, 'join')
  await cluster.until(() => cluster.node(lost).replica.role() === 'follower' && votersOf(cluster).length === 3)
  const second = cluster.leaderName() as string
  await cluster.loseDisk(second)
  await cluster.until(() => cluster.leaderName() !== undefined)
  const after = await proposeMany(cluster, 'after', 3)
  assert.equal(cluster.commands(cluster.leaderName() as string), [...before, ...after])
  await cluster.boot(second, 'join')
  await cluster.until(() => cluster.node(second).replica.role() === 'follower')
  await cluster.until(() => cluster.commands(second).length === 28)
  assert.equal(cluster.commands(second), [...before, ...after])
  await cluster.destroy()
})

test('losing a second VM before the learner has caught up leaves no leader, since an empty replica must not elect one', async () => {
  const cluster = await TestCluster.formed(THREE, 24, SMALL)
  await proposeMany(cluster, 'before', 25)
  const lost = await loseFollowerDisk(cluster)
  const leader = cluster.leaderName() as string
  const other = cluster.followers()[0] as string
  cluster.isolate(lost)
  await cluster.boot(lost, 'join')
  await cluster.crash(leader)
  cluster.network.healAll()
  await cluster.advance(20_000)
  assert.is(cluster.leaderName(), undefined)
  assert.not.equal(cluster.node(lost).replica.role(), 'follower')
  await cluster.boot(leader)
  await cluster.until(() => cluster.leaderName() !== undefined)
  await cluster.until(() => cluster.node(lost).replica.role() === 'follower')
  assert.is(cluster.commands(other).length, 25)
  await cluster.destroy()
})

test('two of three replicas that lost their disks do not form a new cluster, even with the setting form', async () => {
  const cluster = await TestCluster.formed(THREE, 25)
  await proposeMany(cluster, 'before', 5)
  for (const name of ['alpha', 'beta']) await cluster.loseDisk(name)
  for (const name of ['alpha', 'beta']) await cluster.boot(name, 'form')
  await cluster.advance(20_000)
  assert.is(cluster.leaderName(), undefined)
  await cluster.destroy()
})

async function bootWithPeers (cluster: TestCluster, name: string, peers: readonly string[], onEmptyFolder: 'join' | 'form' | 'refuse'): Promise<void> {
  cluster.peersInSettings = peers
  await cluster.boot(name, onEmptyFolder)
}

test('a cluster grows from one replica to three and shrinks again by settings changes', async () => {
  const cluster = await TestCluster.create(THREE, 26, SMALL)
  await bootWithPeers(cluster, 'alpha', ['alpha'], 'form')
  await cluster.until(() => cluster.leaderName() === 'alpha')
  const commands = await proposeMany(cluster, 'alone', 15)
  await bootWithPeers(cluster, 'beta', THREE, 'join')
  await cluster.advance(5_000)
  assert.equal(votersOf(cluster), ['alpha'])
  await cluster.stop('alpha')
  await bootWithPeers(cluster, 'alpha', THREE, 'refuse')
  await bootWithPeers(cluster, 'gamma', THREE, 'join')
  for (const name of ['beta', 'gamma']) await cluster.until(() => cluster.node(name).replica.role() === 'follower')
  await cluster.advance(1_000)
  assert.equal(votersOf(cluster), THREE)
  commands.push(...await proposeMany(cluster, 'together', 5))
  await cluster.stop('alpha')
  for (const name of ['beta', 'gamma']) {
    await cluster.stop(name)
    await bootWithPeers(cluster, name, ['beta', 'gamma'], 'refuse')
  }
  await cluster.until(() => cluster.leaderName() !== undefined)
  assert.equal(votersOf(cluster), THREE)
  await cluster.until(() => cluster.leaderName() !== undefined && votersOf(cluster).length === 2, 60_000)
  commands.push(...await proposeMany(cluster, 'after', 1))
  await cluster.advance(1_000)
  assert.equal(cluster.commands('gamma'), commands)
  await cluster.destroy()
})

test('a member missing from the settings stays while it is heard, and a silent member stays while the settings name it', async () => {
  const cluster = await TestCluster.formed(THREE, 30)
  const [first, second] = cluster.followers() as [string, string]
  await cluster.crash(first)
  await cluster.advance(120_000)
  assert.equal(votersOf(cluster), THREE)
  await cluster.boot(first)
  const others = THREE.filter((name) => name !== second)
  for (const name of others) {
    await cluster.stop(name)
    await bootWithPeers(cluster, name, others, 'refuse')
  }
  await cluster.stop(second)
  await bootWithPeers(cluster, second, THREE, 'refuse')
  await cluster.until(() => others.includes(cluster.leaderName() ?? ''))
  await cluster.advance(120_000)
  assert.ok(others.includes(cluster.leaderName() as string))
  assert.equal(votersOf(cluster), THREE)
  await cluster.destroy()
})

test('a second change of the replica set waits until the first is committed', async () => {
  const cluster = await TestCluster.create(THREE, 29)
  await bootWithPeers(cluster, 'alpha', ['alpha'], 'form')
  await cluster.until(() => cluster.leaderName() === 'alpha')
  await cluster.stop('alpha')
  await bootWithPeers(cluster, 'alpha', THREE, 'refuse')
  await cluster.until(() => cluster.leaderName() === 'alpha')
  await cluster.advance(100)
  const changes = (): number => cluster.events.filter(({ name, event }) => name === 'alpha' && event.kind === 'replica_set_changed').length
  const { folder } = cluster.node('alpha')
  folder.hold('segment-')
  for (const name of ['beta', 'gamma']) await cluster.boot(name, 'join')
  await cluster.advance(5_000)
  assert.is(changes(), 1)
  folder.release()
  await cluster.until(() => votersOf(cluster).length === 3)
  assert.is(changes(), 4)
  await cluster.destroy()
})

test('a slow disk on one replica, follower or leader, delays no confirmation and causes no election', async () => {
  for (const slowIsLeader of [false, true]) {
    const cluster = await TestCluster.formed(THREE, 27)
    const slow = slowIsLeader ? cluster.leaderName() as string : cluster.followers()[0] as string
    const leader = cluster.leaderName()
    cluster.node(slow).folder.hold()
    await proposeMany(cluster, 'change', 10)
    await cluster.advance(10_000)
    assert.is(cluster.leaderName(), leader)
    cluster.node(slow).folder.release()
    await cluster.advance(1_000)
    assert.is(cluster.commands(slow).length, 10)
    assert.is(cluster.node(slow).replica.status().durableIndex, cluster.leader().status().lastIndex)
    await cluster.destroy()
  }
})

test('with slow disks on a majority, no command is confirmed before it is synced', async () => {
  const cluster = await TestCluster.formed(THREE, 28, { proposalTimeoutMilliseconds: 1_000 })
  for (const name of cluster.followers()) cluster.node(name).folder.hold()
  const answer = await cluster.propose('waits')
  assert.is(answer.unwrapErr().code, 'proposal_not_confirmed')
  for (const name of cluster.followers()) cluster.node(name).folder.release()
  await cluster.advance(500)
  for (const name of THREE) assert.equal(cluster.commands(name), ['waits'])
  await cluster.destroy()
})

test.run()
