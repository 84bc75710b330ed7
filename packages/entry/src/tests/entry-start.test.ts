import { execFile } from 'node:child_process'
import { promisify } from 'node:util'
import { test } from 'uvu'
import * as assert from 'uvu/assert'

const ENTRY = new URL('../dispatched-entry.ts', import.meta.url).href
/** Prints the modules of Node.js that loading an entry loads. */
const SCRIPT = `import(${JSON.stringify(ENTRY)}).then(() => console.log(process.moduleLoadList.join('\\n')))`

// Guards against starts of hundreds of entries that load and compile what no entry uses (SHORT).
test('an entry loads neither fetch nor web sockets', async () => {
  const { stdout } = await promisify(execFile)(process.execPath, ['--import', 'tsx', '--eval', SCRIPT])
  const loaded = stdout.split('\n')
  assert.ok(loaded.some((name) => name.endsWith(' http')), 'the list was printed')
  assert.equal(loaded.filter((name) => name.includes('undici')), [])
})

test.run()
