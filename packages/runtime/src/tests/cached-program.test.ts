import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Script } from 'node:vm'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { codeCacheOf, runCachedProgram } from '../cached-program.ts'

const PROGRAM = 'globalThis.programRan = [require("node:path").basename(__filename), process.argv.length > 0]'

/** Runs a program that may have a code cache, and returns what it left behind. */
async function run (codeCache: Buffer | undefined): Promise<unknown> {
  const folder = await mkdtemp(join(tmpdir(), 'cached-program-'))
  const bundle = join(folder, 'program.cjs')
  const global = globalThis as { programRan?: unknown }
  global.programRan = undefined
  await writeFile(bundle, PROGRAM)
  if (codeCache !== undefined) await writeFile(codeCacheOf(bundle), codeCache)
  runCachedProgram(bundle)
  await rm(folder, { recursive: true })
  return global.programRan
}

const RAN = ['program.cjs', true]

test('a program without a code cache runs', async () => {
  assert.equal(await run(undefined), RAN)
})

// Guards against processes that do not start after a change of Node.js, its flags or the program.
test('a code cache that does not fit is passed over', async () => {
  const other = new Script('globalThis.programRan = "another program"').createCachedData()
  for (const codeCache of [Buffer.alloc(0), Buffer.from('not compiled code'), other]) assert.equal(await run(codeCache), RAN)
})

test('the code cache of another processor or version of Node.js has another name', () => {
  assert.ok(codeCacheOf('program.cjs').includes(process.arch))
  assert.ok(codeCacheOf('program.cjs').includes(process.version))
})

test.run()
