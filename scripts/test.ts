/**
 * Runs each test file in its own process and prints the total counts as the last line.
 * Arguments are substrings of file names to run; without arguments, all files run.
 */
import { spawn } from 'node:child_process'
import { readdir, readFile } from 'node:fs/promises'
import { availableParallelism } from 'node:os'
import { join } from 'node:path'

const TEST_FOLDERS = ['packages', 'platform'] as const
const FILE_TIMEOUT_MILLISECONDS = 300_000
const PARALLEL_FILES = Math.max(1, Math.min(5, Math.floor(availableParallelism() / 2)))

/** A line of KNOWN-RED.txt names a test file whose failures are printed and not counted. */
const KNOWN_RED_FILE = 'KNOWN-RED.txt'
const KNOWN_RED_LINE = /^red test file: (\S+)$/gm

interface FileOutcome {
  readonly passed: number
  readonly failed: number
  readonly skipped: number
}

async function findTestFiles (wanted: readonly string[]): Promise<string[]> {
  const folders = await Promise.all(TEST_FOLDERS.map(async (folder) => (await readdir(folder, { recursive: true })).map((name) => join(folder, name))))
  return folders.flat()
    .filter((name) => /src\/tests\/.*\.test\.ts$/.test(name) && !name.includes('node_modules'))
    .filter((name) => wanted.length === 0 || wanted.some((part) => name.includes(part)))
    .sort()
}

function sumOfCounts (output: string, label: string): number {
  return [...output.matchAll(new RegExp(`^  ${label}:\\s+(\\d+)`, 'gm'))].reduce((sum, match) => sum + Number(match[1]), 0)
}

async function findKnownRed (): Promise<ReadonlySet<string>> {
  const text = await readFile(KNOWN_RED_FILE, 'utf8')
  return new Set([...text.matchAll(KNOWN_RED_LINE)].map((match) => match[1] as string))
}

function reportOutcome (file: string, output: string, exitCode: number | null): FileOutcome {
  const total = sumOfCounts(output, 'Total')
  const passed = sumOfCounts(output, 'Passed')
  const skipped = sumOfCounts(output, 'Skipped')
  const failed = total - passed - skipped
  const unaccounted = failed === 0 && (exitCode !== 0 || total === 0) ? 1 : 0
  const isRed = failed + unaccounted > 0
  if (isRed && knownRed.has(file)) {
    console.log(`KNOWN RED ${file} (${KNOWN_RED_FILE})\n${output}`)
    return { passed, failed: 0, skipped: skipped + failed + unaccounted }
  }
  if (isRed) console.log(`FAILED ${file}\n${output}`)
  else console.log(`ok ${file} (${passed})`)
  return { passed, failed: failed + unaccounted, skipped }
}

function runFile (file: string): Promise<FileOutcome> {
  return new Promise((resolve) => {
    const child = spawn(process.execPath, ['--import', 'tsx', file], { env: { ...process.env, FORCE_COLOR: '0' } })
    const chunks: string[] = []
    const timer = setTimeout(() => {
      chunks.push(`\ntimed out after ${FILE_TIMEOUT_MILLISECONDS} ms\n`)
      child.kill('SIGKILL')
    }, FILE_TIMEOUT_MILLISECONDS)
    child.stdout.on('data', (chunk) => chunks.push(String(chunk)))
    child.stderr.on('data', (chunk) => chunks.push(String(chunk)))
    child.on('close', (exitCode) => {
      clearTimeout(timer)
      resolve(reportOutcome(file, chunks.join(''), exitCode))
    })
  })
}

async function runAll (files: readonly string[]): Promise<FileOutcome[]> {
  const waiting = [...files]
  const outcomes: FileOutcome[] = []
  const workers = Array.from({ length: PARALLEL_FILES }, async () => {
    for (let file = waiting.shift(); file !== undefined; file = waiting.shift()) outcomes.push(await runFile(file))
  })
  await Promise.all(workers)
  return outcomes
}

const knownRed = await findKnownRed()
const outcomes = await runAll(await findTestFiles(process.argv.slice(2)))
const sum = (pick: (outcome: FileOutcome) => number): number => outcomes.reduce((total, outcome) => total + pick(outcome), 0)
const failed = sum((outcome) => outcome.failed)
console.log(`${sum((outcome) => outcome.passed)} passed, ${failed} failed, ${sum((outcome) => outcome.skipped)} skipped`)
process.exitCode = failed > 0 || outcomes.length === 0 ? 1 : 0
