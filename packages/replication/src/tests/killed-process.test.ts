import { spawn } from 'node:child_process'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { test } from 'uvu'
import * as assert from 'uvu/assert'

const LIVES = 5
const CONFIRMED_A_LIFE = 130

interface Life {
  readonly restored: readonly string[]
  readonly confirmed: readonly string[]
}

/** Runs the process until enough is confirmed, then kills it in the midst of its work. */
async function live (folder: string): Promise<Life> {
  const child = spawn(process.execPath, ['--import', 'tsx', new URL('killed-process.ts', import.meta.url).pathname, folder], {
    stdio: ['ignore', 'pipe', 'inherit']
  })
  let restored: string[] = []
  const confirmed: string[] = []
  for await (const line of createInterface({ input: child.stdout })) {
    if (line.startsWith('restored ')) restored = JSON.parse(line.slice('restored '.length)) as string[]
    else confirmed.push(line.slice('confirmed '.length))
    if (confirmed.length === CONFIRMED_A_LIFE) child.kill('SIGKILL')
  }
  return { restored, confirmed }
}

test(`a process killed ${LIVES} times in the midst of its work keeps every confirmed change`, async () => {
  const folder = await mkdtemp(join(tmpdir(), 'killed-process-'))
  let expected: string[] = []
  for (let count = 1; count <= LIVES; count += 1) {
    const { restored, confirmed } = await live(folder)
    assert.equal(restored.slice(0, expected.length), expected, `life ${count}`)
    assert.ok(restored.length <= expected.length + 1, `life ${count}: at most the one change under way`)
    assert.ok(confirmed.length >= CONFIRMED_A_LIFE)
    expected = [...restored, ...confirmed]
  }
  await rm(folder, { recursive: true })
})

test.run()
