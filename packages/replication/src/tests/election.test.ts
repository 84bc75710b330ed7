import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { TestCluster } from './test-cluster.ts'

const THREE = ['alpha', 'beta', 'gamma']
const FIVE = [...THREE, 'delta', 'epsilon']

for (const names of [['alpha'], THREE, FIVE]) {
  test(`a cluster of ${names.length} forms, elects one leader and confirms a command`, async () => {
    const cluster = await TestCluster.formed(names)
    assert.is(cluster.leaders().length, 1)
    const answer = await cluster.propose('first')
    assert.is(Buffer.from(answer.unwrap()).toString(), '1')
    await cluster.advance(500)
    for (const name of names) assert.equal(cluster.commands(name), ['first'])
    await cluster.destroy()
  })
}

test('a cluster does not form until all initial replicas have started', async () => {
  const cluster = await TestCluster.create(THREE)
  await cluster.boot('alpha', 'form')
  await cluster.boot('beta', 'form')
  await cluster.advance(5_000)
  assert.is(cluster.leaderName(), undefined)
  await cluster.boot('gamma', 'form')
  await cluster.until(() => cluster.leaderName() !== undefined)
  await cluster.destroy()
})

test('a leader that can send but not receive steps down, and the others elect a new one', async () => {
  const cluster = await TestCluster.formed(THREE, 11)
  const old = cluster.leaderName() as string
  for (const other of cluster.followers()) cluster.network.cut(other, old)
  await cluster.until(() => cluster.leaderName() !== old && cluster.leaderName() !== undefined, 5_000)
  assert.is((await cluster.propose('after')).isOk(), true)
  assert.not.equal(cluster.node(old).replica.role(), 'leader')
  cluster.network.healAll()
  await cluster.until(() => cluster.commands(old).includes('after'))
  await cluster.destroy()
})

test('a leader that can receive but not send is replaced and steps down', async () => {
  const cluster = await TestCluster.formed(THREE, 12)
  const old = cluster.leaderName() as string
  for (const other of cluster.followers()) cluster.network.cut(old, other)
  await cluster.until(() => cluster.leaders().length === 1 && cluster.leaderName() !== old, 5_000)
  assert.ok((await cluster.propose('after')).isOk())
  await cluster.destroy()
})

for (const direction of ['hears nothing', 'is not heard', 'hears all but the leader'] as const) {
  test(`a follower that ${direction} for a minute does not depose a healthy leader`, async () => {
    const cluster = await TestCluster.formed(THREE, 13)
    const leader = cluster.leaderName() as string
    const { term } = cluster.leader().status()
    const lost = cluster.followers()[0] as string
    for (const other of THREE) {
      if (direction === 'hears nothing') cluster.network.cut(other, lost)
      if (direction === 'is not heard') cluster.network.cut(lost, other)
    }
    if (direction === 'hears all but the leader') cluster.network.cut(leader, lost)
    await cluster.advance(60_000)
    assert.is(cluster.leaderName(), leader)
    assert.ok((await cluster.propose('meanwhile')).isOk())
    cluster.network.healAll()
    await cluster.advance(3_000)
    assert.is(cluster.leaderName(), leader)
    assert.is(cluster.leader().status().term, term)
    assert.equal(cluster.commands(lost), ['meanwhile'])
    await cluster.destroy()
  })
}

test('an isolated leader confirms no command, and its entry is replaced', async () => {
  const cluster = await TestCluster.formed(THREE, 14)
  const old = cluster.leaderName() as string
  cluster.isolate(old)
  const lost = await cluster.propose('lost', cluster.node(old).replica)
  assert.is(lost.unwrapErr().code, 'proposal_not_confirmed')
  await cluster.until(() => cluster.leaderName() !== undefined && cluster.leaderName() !== old)
  assert.ok((await cluster.propose('kept')).isOk())
  cluster.network.healAll()
  await cluster.until(() => cluster.commands(old).length === 1)
  for (const name of THREE) assert.equal(cluster.commands(name), ['kept'])
  await cluster.destroy()
})

test('a read barrier passes on a leader with a quorum and fails on an isolated leader', async () => {
  const cluster = await TestCluster.formed(THREE, 15)
  const old = cluster.leader()
  let outcome = ''
  old.readBarrier().then((result) => { outcome = result.isOk() ? 'passed' : 'failed' })
  await cluster.until(() => outcome === 'passed', 1_000)
  cluster.isolate(cluster.leaderName() as string)
  old.readBarrier().then((result) => { outcome = result.isOk() ? 'passed again' : 'failed' })
  await cluster.until(() => outcome === 'failed', 10_000)
  assert.is(outcome, 'failed')
  await cluster.destroy()
})

test('a graceful stop transfers leadership without an election timeout and keeps all confirmed commands', async () => {
  const cluster = await TestCluster.formed(THREE, 16)
  await cluster.propose('before')
  const old = cluster.leaderName() as string
  const started = cluster.clock.monotonicMilliseconds()
  const stopped = cluster.stop(old)
  await cluster.until(() => cluster.leaderName() !== undefined && cluster.leaderName() !== old)
  assert.ok(cluster.clock.monotonicMilliseconds() - started < 300)
  await stopped
  assert.ok((await cluster.propose('after')).isOk())
  assert.equal(cluster.commands(cluster.leaderName() as string), ['before', 'after'])
  await cluster.destroy()
})

test('a follower rejects a proposal and names the leader', async () => {
  const cluster = await TestCluster.formed(THREE, 17)
  const follower = cluster.followers()[0] as string
  await cluster.until(() => cluster.node(follower).replica.leader() !== undefined)
  const refused = (await cluster.propose('x', cluster.node(follower).replica)).unwrapErr()
  assert.is(refused.code === 'not_leader' && refused.leader, cluster.leaderName())
  await cluster.destroy()
})

test.run()
