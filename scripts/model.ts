/** Checks the model of the replication protocol: `npm run model [-- --short]`. Exits with 1 if a run has an unexpected result. */
import {
  describeAction, LONG_RUNS, type ModelRun, runModel, SEEDED_FAULTS, SHORT_RUNS
} from '../packages/replication/src/model/model-runs.ts'

function report (run: ModelRun): boolean {
  const started = performance.now()
  const result = runModel(run)
  const seconds = ((performance.now() - started) / 1000).toFixed(1)
  const reach = result.violation === undefined ? result.exhaustive ? 'all states within the bounds' : 'stopped at the limit of states' : 'stopped at the violation'
  console.log(`${run.label}: ${result.states} states, ${result.transitions} transitions, depth ${result.depth}, ${seconds} s, ${reach}`)
  if (result.violation !== undefined) {
    console.log(`  violates "${result.violation.invariant}" through: ${result.violation.trace.map(describeAction).join('; ')}`)
  }
  return result.violation?.invariant === run.expectedViolation
}

const isShort = process.argv.includes('--short')
const sound = isShort ? SHORT_RUNS : LONG_RUNS
console.log('Runs with all rules: no invariant may be violated')
const soundAsExpected = sound.map(report)
console.log('Runs with one rule removed: the named invariant must be violated')
const faultsAsExpected = SEEDED_FAULTS.map(report)
const asExpected = [...soundAsExpected, ...faultsAsExpected].every(Boolean)
console.log(asExpected ? 'all runs as expected' : 'a run has an unexpected result')
process.exitCode = asExpected ? 0 : 1
