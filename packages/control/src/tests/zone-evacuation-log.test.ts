import { UpstreamRegistry } from '@hickoryspoke/dispatch/upstream-registry'
import { ZoneEvacuations } from '@hickoryspoke/dispatch/zone-evacuations'
import { ControlState } from '@hickoryspoke/replication/control-state'
import { NotLeader, ProposalNotConfirmed, type ReplicationFailure } from '@hickoryspoke/replication/replication-failure'
import { silentLogger } from '@hickoryspoke/telemetry/logger'
import { FakeClock, flushPromises } from '@hickoryspoke/testing/fake-clock'
import { Err, Ok, type Result } from 'ts-results-es'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ZoneEvacuationLog } from '../zone-evacuation-log.ts'

/** Control VMs with one log. Commands that were not confirmed are in `pending`, and may be committed later. */
function createCluster () {
  const state = ControlState.create()
  const clock = FakeClock.create()
  const cluster = { isLeading: true, isConfirming: true, proposals: 0, barriers: 0, pending: [] as Uint8Array[] }
  const commit = (command: Uint8Array): Uint8Array => state.apply(cluster.proposals, command)
  const log = {
    propose: async (command: Uint8Array): Promise<Result<Uint8Array, ReplicationFailure>> => {
      if (!cluster.isLeading) return Err(NotLeader.create(undefined))
      cluster.proposals += 1
      if (cluster.isConfirming) return Ok(commit(command))
      cluster.pending.push(command)
      return Err(ProposalNotConfirmed.create(cluster.proposals))
    },
    readBarrier: async (): Promise<Result<void, ReplicationFailure>> => {
      cluster.barriers += 1
      return cluster.isLeading && cluster.isConfirming ? Ok(undefined) : Err(NotLeader.create(undefined))
    }
  }
  const startVm = (from = state) => {
    const zones = ZoneEvacuations.create(clock, UpstreamRegistry.create(clock))
    return { zones, evacuations: ZoneEvacuationLog.create({ clock, logger: silentLogger(), zones, committed: from.zones, log }) }
  }
  return { cluster, state, commit, startVm }
}

test('an evacuation and its end are committed and apply on all control VMs', async () => {
  const { startVm } = createCluster()
  const [leader, follower] = [startVm(), startVm()]
  assert.ok((await leader.evacuations.set('north', true)).isOk())
  assert.equal([leader, follower].map(({ zones }) => zones.evacuated()), [['north'], ['north']])
  assert.ok((await leader.evacuations.set('north', false)).isOk())
  assert.equal([leader, follower].map(({ zones }) => zones.evacuated()), [[], []])
})

test('a repeated order is acknowledged without a new command, once leadership was confirmed', async () => {
  const { cluster, startVm } = createCluster()
  const { evacuations } = startVm()
  assert.ok((await evacuations.set('north', false)).isOk(), 'the zone is not evacuated')
  assert.is(cluster.proposals, 0)
  await evacuations.set('north', true)
  assert.ok((await evacuations.set('north', true)).isOk())
  assert.equal([cluster.proposals, cluster.barriers], [1, 2])
})

test('orders that arrive together are committed once', async () => {
  const { cluster, startVm } = createCluster()
  const { evacuations } = startVm()
  const results = await Promise.all([1, 2, 3].map(async () => await evacuations.set('north', true)))
  assert.ok(results.every((result) => result.isOk()))
  assert.is(cluster.proposals, 1)
})

// Guards against an acknowledgement of an order that no later leader knows.
test('an order is not acknowledged when the leader is lost before the commit', async () => {
  const { cluster, startVm } = createCluster()
  const { evacuations, zones } = startVm()
  cluster.isLeading = false
  assert.ok((await evacuations.set('north', true)).isErr())
  assert.ok((await evacuations.set('north', false)).isErr(), 'it may not confirm what it does not know to be in force')
  assert.equal(zones.evacuated(), [])
})

test('a resent order is acknowledged by the next leader when its predecessor was lost after the commit', async () => {
  const { cluster, startVm, commit } = createCluster()
  const [lost, next] = [startVm(), startVm()]
  cluster.isConfirming = false
  assert.ok((await lost.evacuations.set('north', true)).isErr())
  cluster.pending.forEach(commit)
  cluster.isConfirming = true
  assert.equal(next.zones.evacuated(), ['north'])
  assert.ok((await next.evacuations.set('north', true)).isOk())
  assert.is(cluster.proposals, 1)
})

// Guards against a zone that is evacuated after its return was acknowledged, by an earlier order that was committed late.
test('an order whose commit was not confirmed does not take effect after a later one', async () => {
  const { cluster, startVm, commit } = createCluster()
  const { evacuations, zones } = startVm()
  cluster.isConfirming = false
  await evacuations.set('north', true)
  cluster.isConfirming = true
  assert.ok((await evacuations.set('north', false)).isOk())
  assert.is(cluster.proposals, 2, 'the return is recorded, although the zone is not known to be evacuated')
  cluster.pending.forEach(commit)
  assert.equal(zones.evacuated(), [])
})

test('an order that was not confirmed leaves room for the next one', async () => {
  const { cluster, startVm } = createCluster()
  const { evacuations, zones } = startVm()
  cluster.isConfirming = false
  await evacuations.set('north', true)
  cluster.isConfirming = true
  assert.ok((await evacuations.set('north', true)).isOk())
  await flushPromises()
  assert.equal(zones.evacuated(), ['north'])
})

// Guards against requests to an evacuated zone after all control VMs were restarted.
test('a control VM that starts from a snapshot knows the evacuated zones before it serves anybody', async () => {
  const { state, startVm } = createCluster()
  await startVm().evacuations.set('north', true)
  const restored = ControlState.create()
  restored.restore(state.snapshot())
  assert.equal(startVm(restored).zones.evacuated(), ['north'])
})

test.run()
