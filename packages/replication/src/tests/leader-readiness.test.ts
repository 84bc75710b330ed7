import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { TestCluster } from './test-cluster.ts'

const NAMES = ['a', 'b', 'c']
const COMMANDS = ['one', 'two', 'three']

// Guards against a new leader that acts on a state without what earlier leaders acknowledged, such as the departure of an upstream (DRAIN).
test('after a restart a leader has applied earlier terms only once it has applied every acknowledged command', async () => {
  const cluster = await TestCluster.formed(NAMES)
  for (const command of COMMANDS) await cluster.propose(command)
  for (const name of NAMES) await cluster.crash(name)
  for (const name of NAMES) await cluster.boot(name)
  await cluster.until(() => cluster.leaderName() !== undefined)
  const leader = cluster.leaderName() as string
  const { replica } = cluster.node(leader)
  assert.is.not(cluster.commands(leader).length, COMMANDS.length, 'it is the leader before it has applied them')
  assert.not.ok(replica.hasAppliedEarlierTerms())
  await cluster.until(() => replica.hasAppliedEarlierTerms())
  assert.equal(cluster.commands(leader), COMMANDS)
  await cluster.destroy()
})

test('a replica that does not lead has not', async () => {
  const cluster = await TestCluster.formed(NAMES)
  await cluster.until(() => cluster.leader().hasAppliedEarlierTerms())
  for (const name of cluster.followers()) assert.not.ok(cluster.node(name).replica.hasAppliedEarlierTerms())
  await cluster.destroy()
})

test.run()
