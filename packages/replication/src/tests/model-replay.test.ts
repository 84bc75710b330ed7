import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { SeededRandom } from '@hickoryspoke/runtime/random'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { randomWalk, type Step } from '../model/explorer.ts'
import { describeAction, LONG_RUNS, runModel, SEEDED_FAULTS } from '../model/model-runs.ts'
import { ALL_RULES, type ModelAction, type ModelSettings, type ModelState, ReplicationSpecification } from '../model/replication-specification.ts'
import { ModelReplicas } from './model-replicas.ts'

const REPLICAS = 3
const WALK_STEPS = 18

/** Runs steps of the model on real replicas and compares the states after each step. */
async function replay (prefix: readonly ModelAction[], steps: readonly Step<ModelState, ModelAction>[]): Promise<void> {
  const root = await mkdtemp(join(tmpdir(), 'model-replay-'))
  const real = await ModelReplicas.create(root, REPLICAS)
  const done: string[] = []
  try {
    for (const action of prefix) await real.run(action)
    for (const { action, next } of steps) {
      done.push(describeAction(action))
      await real.run(action)
      compare(next, real, done.join('; '))
    }
  } finally {
    await real.destroy()
    await rm(root, { recursive: true })
  }
}

function compare (state: ModelState, real: ModelReplicas, trace: string): void {
  state.replicas.forEach((model, at) => {
    if (!model.up) return
    const { replica, machine } = real.part(at)
    const status = replica.status()
    assert.is(status.term, model.term, `term of ${at} after ${trace}`)
    assert.is(status.role === 'leader', model.role === 'leader', `role of ${at} after ${trace}`)
    assert.is(status.lastIndex, model.log.length, `log of ${at} after ${trace}`)
    assert.is(status.durableIndex, model.synced, `synced of ${at} after ${trace}`)
    assert.ok(status.commitIndex <= model.commit, `commit of ${at} after ${trace}`)
    const committed = state.committed.filter((entry) => entry.command !== 'start').map((entry) => entry.command)
    assert.equal(machine.commands, committed.slice(0, machine.commands.length), `commands of ${at} after ${trace}`)
  })
}

for (const run of LONG_RUNS) {
  test(`real replicas follow random walks of the model: ${run.label}`, async () => {
    for (let seed = 1; seed <= 7; seed += 1) {
      await replay(prefixOf(run.settings), randomWalk(ReplicationSpecification.create(run.settings), SeededRandom.create(seed * 31), WALK_STEPS).steps)
    }
  })
}

function prefixOf (settings: ModelSettings): readonly ModelAction[] {
  return settings.prefix ?? []
}

/** Replays a trace in the model with all rules turned on, up to the first action that is not enabled there. */
function underAllRules (settings: ModelSettings, trace: readonly ModelAction[]): Step<ModelState, ModelAction>[] {
  const specification = ReplicationSpecification.create({ ...settings, rules: ALL_RULES })
  const steps: Step<ModelState, ModelAction>[] = []
  let state = specification.initial()
  for (const action of trace) {
    const step = specification.steps(state).find((one) => describeAction(one.action) === describeAction(action))
    if (step === undefined) break
    steps.push(step)
    state = step.next
  }
  return steps
}

for (const run of SEEDED_FAULTS) {
  test(`real replicas follow the model with all rules along the trace found ${run.label}`, async () => {
    const { violation } = runModel(run)
    await replay(prefixOf(run.settings), underAllRules(run.settings, violation?.trace ?? []))
  })
}

test.run()
