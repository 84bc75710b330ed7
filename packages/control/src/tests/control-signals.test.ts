import { spawn } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { sha256Digest } from '@hickoryspoke/runtime/hashing'
import { test } from 'uvu'
import * as assert from 'uvu/assert'

const SETTINGS = `
name = "control-1"
zone = "zone-a"
cluster = "signals"
data_folder = "FOLDER/data"
on_empty_folder = "form"
listen = "127.0.0.1:0"
[[operators]]
name = "operator"
role = "operator"
digest = "DIGEST"
[[replicas]]
name = "control-1"
address = "127.0.0.1:0"
[security]
kind = "plain_text"
`

// Guards against a control process that the end of its terminal, or a repeated signal, kills without a graceful stop.
test('SIGHUP and the signals behind it stop a control process once', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'control-signals-'))
  const file = join(folder, 'settings.toml')
  await writeFile(file, SETTINGS.replace('FOLDER', folder).replace('DIGEST', sha256Digest('token')))
  const child = spawn(process.execPath, ['--import', 'tsx', 'packages/control/src/control-main.ts', '--settings', file])
  let output = ''
  for (const stream of [child.stdout, child.stderr]) stream.on('data', (chunk) => { output += String(chunk) })
  const ended = new Promise((resolve) => child.once('close', (code, signal) => resolve(code ?? signal)))
  while (!output.includes('control is listening') && child.exitCode === null) await new Promise((resolve) => setTimeout(resolve, 20))
  for (const signal of ['SIGHUP', 'SIGTERM', 'SIGINT'] as const) child.kill(signal)
  const outcome = await ended
  await rm(folder, { recursive: true })
  assert.is(outcome, 0, output)
  assert.is(output.split('"event":"stopped"').length, 2, output)
})

test.run()
