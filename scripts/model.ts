/** Explores the model of the replication protocol: `npm run model [-- --short]`. Ends with 1 when a run differs from what it should find. */
import {
  describeAction, LONG_RUNS, type ModelRun, runModel, SEEDED_FAULTS, SHORT_RUNS
} from '../packages/replication/src/model/model-runs.ts'

function report (run: ModelRun): boolean {
  const started = performance.now()
  const result = runModel(run)
  const seconds = ((performance.now() - started) / 1000).toFixed(1)
  const reach = result.violation === undefined ? result.exhaustive ? 'all states within the bounds' : 'ended by the bound on states' : 'stopped at the violation'
  console.log(`${run.label}: ${result.states} states, ${result.transitions} transitions, depth ${result.depth}, ${seconds} s, ${reach}`)
  if (result.violation !== undefined) {
    console.log(`  breaks "${result.violation.invariant}" by: ${result.violation.trace.map(describeAction).join('; ')}`)
  }
  return result.violation?.invariant === run.breaks
}

const isShort = process.argv.includes('--short')
const sound = isShort ? SHORT_RUNS : LONG_RUNS
console.log('Runs with all rules: no invariant may break')
const soundAsExpected = sound.map(report)
console.log('Runs with one rule left out: the named invariant must break')
const faultsAsExpected = SEEDED_FAULTS.map(report)
const asExpected = [...soundAsExpected, ...faultsAsExpected].every(Boolean)
console.log(asExpected ? 'all runs as they should be' : 'a run differs from what it should find')
process.exitCode = asExpected ? 0 : 1
