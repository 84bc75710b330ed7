import type { AnnouncedUpstream } from '@hickoryspoke/protocol/generated/dispatch'
import { UpstreamRegistry } from '@hickoryspoke/dispatch/upstream-registry'
import { ControlState } from '@hickoryspoke/replication/control-state'
import { NotLeader, type ReplicationFailure } from '@hickoryspoke/replication/replication-failure'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { Err, Ok, type Result } from 'ts-results-es'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { DepartureLog } from '../departure-log.ts'

const UPSTREAM: AnnouncedUpstream = {
  instance: 'a', pool: 'ledger', address: '10.0.0.1:80', zone: 'z', slots: 1, draining: false, warmupMilliseconds: 0, born: 1_000, sequence: 1, version: '', gone: false
}

/** Control VMs with one log; `isLeading` decides whether proposals are committed. */
function createCluster () {
  const state = ControlState.create()
  const cluster = { isLeading: true, proposals: 0 }
  const log = {
    propose: async (command: Uint8Array): Promise<Result<Uint8Array, ReplicationFailure>> => {
      if (!cluster.isLeading) return Err(NotLeader.create(undefined))
      cluster.proposals += 1
      return Ok(state.apply(cluster.proposals, command))
    }
  }
  const startVm = () => {
    const registry = UpstreamRegistry.create(FakeClock.create())
    return { registry, departures: DepartureLog.create({ registry, committed: state.departures, log }) }
  }
  return { cluster, startVm }
}

test('a departure is committed once, and again only when the upstream has left', async () => {
  const { cluster, startVm } = createCluster()
  const { registry, departures } = startVm()
  registry.announce(UPSTREAM)
  assert.ok(await departures.record('a'))
  assert.is(cluster.proposals, 0, 'it does not leave')
  registry.announce({ ...UPSTREAM, sequence: 2, draining: true })
  assert.ok(await departures.record('a'))
  registry.announce({ ...UPSTREAM, sequence: 3, draining: true })
  assert.ok(await departures.record('a'))
  assert.is(cluster.proposals, 1)
  registry.leave('a', 1_000)
  assert.ok(await departures.record('a'))
  assert.is(cluster.proposals, 2)
})

test('a departure that cannot be committed is not recorded', async () => {
  const { cluster, startVm } = createCluster()
  const { registry, departures } = startVm()
  registry.announce({ ...UPSTREAM, draining: true })
  cluster.isLeading = false
  assert.not.ok(await departures.record('a'))
})

// Guards against a control VM that uses an upstream whose departure was committed before it started, or under another leader (DRAIN).
test('all control VMs know a committed departure, also those that start later', async () => {
  const { startVm } = createCluster()
  const leader = startVm()
  const follower = startVm()
  follower.registry.announce(UPSTREAM)
  leader.registry.announce({ ...UPSTREAM, sequence: 2, draining: true })
  await leader.departures.record('a')
  const started = startVm()
  for (const { registry } of [follower, started]) {
    registry.announce(UPSTREAM)
    assert.ok(registry.isLeaving('a'))
  }
})

test.run()
