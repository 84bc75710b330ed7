import { IdentifiedState } from '@hickoryspoke/configuration/identified-state'
import { encodeState } from '@hickoryspoke/configuration/state-codec'
import { ControlAnswer, ControlCommand } from '@hickoryspoke/protocol/generated/command'
import { SeededRandom, shuffled } from '@hickoryspoke/runtime/random'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AcceptedState } from '../accepted-state.ts'
import { fileOf, outcomeOf } from './accepted-state-fixture.ts'
import { ListStateMachine, TestCluster } from './test-cluster.ts'

const THREE = ['alpha', 'beta', 'gamma']
const ORDERS = 20

/** Runs an `AcceptedState` as the state machine of a test cluster. */
class AcceptedStateMachine extends ListStateMachine {
  readonly state = AcceptedState.create()

  override apply (index: number, command: Uint8Array): Uint8Array {
    return this.state.apply(index, command)
  }

  override snapshot (): Uint8Array {
    return this.state.snapshot()
  }

  override restore (snapshot: Uint8Array): void {
    this.state.restore(snapshot)
  }
}

function applyCommand (number: number, mark: string): Uint8Array {
  const state = IdentifiedState.create(fileOf(number, mark))
  const apply = { identity: state.identity, basedOn: undefined, whole: encodeState(state), difference: Buffer.alloc(0), differenceFrom: undefined }
  return ControlCommand.encode({ operator: 'ana', role: 'operator', wallMilliseconds: 1, body: { $case: 'apply', value: apply } }).finish()
}

async function applyFile (cluster: TestCluster, number: number, mark: string): Promise<string> {
  const answer = ControlAnswer.decode((await cluster.propose(applyCommand(number, mark))).unwrap())
  assert.is(answer.body?.$case, 'apply')
  return answer.body?.$case === 'apply' ? outcomeOf(answer.body.value) : ''
}

function acceptedNumbers (cluster: TestCluster): (number | undefined)[] {
  return [...cluster.nodes.values()].map((node) => (node.machine as AcceptedStateMachine).state.accepted?.identity.number)
}

test('a file resent after a leader crash gets its original answer, even after hundreds of later changes', async () => {
  const cluster = await TestCluster.formed(THREE, 41, { snapshotEntries: 100 }, () => new AcceptedStateMachine())
  const old = cluster.leaderName() as string
  cluster.leader().propose(applyCommand(1, 'first'))
  await cluster.advance(10)
  await cluster.crash(old)
  await cluster.boot(old)
  await cluster.until(() => cluster.leaderName() !== undefined)
  const first = await applyFile(cluster, 1, 'first')
  for (let number = 2; number <= 300; number += 1) await applyFile(cluster, number, 'later')
  await cluster.crash(cluster.leaderName() as string)
  await cluster.until(() => cluster.leaderName() !== undefined)
  assert.is(await applyFile(cluster, 1, 'first'), first)
  assert.equal(new Set(acceptedNumbers(cluster)), new Set([300]))
  await cluster.destroy()
})

test(`two operators race for one number while leaders crash, in ${ORDERS} orders: one file is in force on all replicas, the other is in dispute`, async () => {
  for (let seed = 1; seed <= ORDERS; seed += 1) {
    const cluster = await TestCluster.formed(THREE, 50 + seed, {}, () => new AcceptedStateMachine())
    await applyFile(cluster, 1, 'base')
    const steps = shuffled(SeededRandom.create(seed), ['ana', 'ben', 'crash', 'ana', 'ben'])
    for (const step of steps) {
      if (step !== 'crash') await applyFile(cluster, 2, step)
      else {
        const lost = cluster.leaderName() as string
        await cluster.crash(lost)
        await cluster.boot(lost)
        await cluster.until(() => cluster.leaderName() !== undefined)
      }
    }
    await cluster.advance(2_000)
    const first = steps.find((step) => step !== 'crash') as string
    const digest = IdentifiedState.create(fileOf(2, first)).identity.digest
    for (const node of cluster.nodes.values()) {
      const { state } = node.machine as AcceptedStateMachine
      assert.is(state.accepted?.identity.digest, digest, `seed ${seed}`)
      assert.ok(state.disputes.current !== undefined, `seed ${seed}`)
    }
    await cluster.destroy()
  }
})

test.run()
