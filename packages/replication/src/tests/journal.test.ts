import { mkdtemp, readFile, readdir, rm, truncate, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { LogEntry } from '@hickoryspoke/protocol/generated/replica'
import fastCheck from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { encodeFrame, scanFrames } from '../frame.ts'
import { Journal } from '../journal.ts'
import { StorageFailure } from '../storage-failure.ts'
import { FaultFolder, flipBit } from './fault-folder.ts'

const SEGMENT_BYTES = 200

async function withFolder (run: (path: string) => Promise<void>): Promise<void> {
  const path = await mkdtemp(join(tmpdir(), 'journal-'))
  await run(path)
  await rm(path, { recursive: true })
}

function entry (index: number, term = 1): LogEntry {
  return { index, term, content: { $case: 'command', value: Buffer.from(`command ${index} of ${term}`) } }
}

function indexesOf (entries: readonly LogEntry[]): number[] {
  return entries.map((one) => one.index)
}

/** Appends entries one by one until one fails. Returns the number of acknowledged entries. */
async function appendUntilFailure (journal: Journal, count: number): Promise<number> {
  for (let index = 1; index <= count; index += 1) {
    if ((await journal.append([entry(index)])).isErr()) return index - 1
  }
  return count
}

async function codeOfOpening (path: string): Promise<string> {
  try {
    await Journal.open(await FaultFolder.create(path), 0)
    return 'opened'
  } catch (thrown) {
    return thrown instanceof StorageFailure ? thrown.code : String(thrown)
  }
}

for (const tornShare of [0, 0.1, 0.6, 0.99, 1]) {
  test(`a power loss at any step, with ${tornShare} of the last write on disk, keeps all acknowledged entries`, async () => {
    for (let crashAtStep = 1; crashAtStep <= 40; crashAtStep += 1) {
      await withFolder(async (path) => {
        const folder = await FaultFolder.create(path)
        folder.crashAtStep = crashAtStep
        folder.tornFraction = tornShare
        const { journal } = await Journal.open(folder, 0, { segmentBytes: SEGMENT_BYTES })
        const acknowledged = await appendUntilFailure(journal, 20)
        await journal.close()
        await folder.dropUnsynced()
        const reopened = await Journal.open(await FaultFolder.create(path), 0)
        assert.ok(reopened.entries.length >= acknowledged, `step ${crashAtStep}: ${reopened.entries.length} of ${acknowledged}`)
        assert.equal(indexesOf(reopened.entries), indexesOf(reopened.entries.map((_, at) => entry(at + 1))))
        assert.ok((await reopened.journal.append([entry(reopened.entries.length + 1)])).isOk())
        await reopened.journal.close()
      })
    }
  })
}

test('concurrent appends share a sync and keep their order', async () => {
  await withFolder(async (path) => {
    const { journal } = await Journal.open(await FaultFolder.create(path), 0)
    const all = await Promise.all(Array.from({ length: 100 }, (_, at) => journal.append([entry(at + 1)])))
    assert.ok(all.every((result) => result.isOk()))
    assert.ok(journal.syncs <= 2, `${journal.syncs} syncs`)
    await journal.close()
    const reopened = await Journal.open(await FaultFolder.create(path), 0)
    assert.is(reopened.entries.length, 100)
  })
})

test('an entry written again replaces the entry at its index and all after it', async () => {
  await withFolder(async (path) => {
    const { journal } = await Journal.open(await FaultFolder.create(path), 0, { segmentBytes: SEGMENT_BYTES })
    for (let index = 1; index <= 10; index += 1) await journal.append([entry(index)])
    await journal.append([entry(4, 2)])
    await journal.close()
    const reopened = await Journal.open(await FaultFolder.create(path), 0)
    assert.equal(reopened.entries.map((one) => [one.index, one.term]), [[1, 1], [2, 1], [3, 1], [4, 2]])
  })
})

test('a flipped bit anywhere in synced content fails with checksum_mismatch and never shortens the log', async () => {
  await withFolder(async (path) => {
    const { journal } = await Journal.open(await FaultFolder.create(path), 0, { segmentBytes: SEGMENT_BYTES })
    for (let index = 1; index <= 10; index += 1) await journal.append([entry(index)])
    await journal.close()
    for (const name of await readdir(path)) {
      const file = join(path, name)
      const { length } = await readFile(file)
      for (let offset = 0; offset < length; offset += 1) {
        await flipBit(file, offset)
        assert.is(await codeOfOpening(path), 'checksum_mismatch', `${name} at ${offset}`)
        await flipBit(file, offset)
      }
    }
    assert.is(await codeOfOpening(path), 'opened')
  })
})

test('a missing segment in the middle fails with journal_gap', async () => {
  await withFolder(async (path) => {
    const { journal } = await Journal.open(await FaultFolder.create(path), 0, { segmentBytes: SEGMENT_BYTES })
    for (let index = 1; index <= 20; index += 1) await journal.append([entry(index)])
    await journal.close()
    const names = (await readdir(path)).sort()
    await rm(join(path, names[1] as string))
    assert.is(await codeOfOpening(path), 'journal_gap')
  })
})

test('an unsynced tail is truncated, whether it is short or contains zeroed sectors', async () => {
  const tails = [Buffer.alloc(5), encodeFrame(Buffer.alloc(900, 7)).subarray(0, 100), Buffer.alloc(4096)]
  const halfWritten = encodeFrame(Buffer.alloc(3_000, 7))
  halfWritten.fill(0, 1_500)
  for (const tail of [...tails, halfWritten]) {
    await withFolder(async (path) => {
      const { journal } = await Journal.open(await FaultFolder.create(path), 0)
      await journal.append([entry(1)])
      await journal.close()
      const file = join(path, (await readdir(path))[0] as string)
      const content = await readFile(file)
      await writeFile(file, Buffer.concat([content, tail]))
      const reopened = await Journal.open(await FaultFolder.create(path), 0)
      assert.equal(indexesOf(reopened.entries), [1])
      assert.is(reopened.truncatedBytes, tail.length)
    })
  }
})

for (const { operation, code, expected } of [
  { operation: 'append', code: 'ENOSPC', expected: 'disk_full' },
  { operation: 'sync', code: 'EIO', expected: 'input_output' },
  { operation: 'openAppend', code: 'EROFS', expected: 'folder_read_only' }
] as const) {
  test(`${code} in ${operation} fails with ${expected}, and later appends fail too`, async () => {
    await withFolder(async (path) => {
      const folder = await FaultFolder.create(path)
      const { journal } = await Journal.open(folder, 0)
      folder.fault = { operation, code }
      const failed = await journal.append([entry(1)])
      assert.is(failed.unwrapErr().code, expected)
      folder.fault = undefined
      assert.is((await journal.append([entry(2)])).unwrapErr().code, expected)
      await journal.close()
    })
  })
}

test('frames with any payloads can be read back, and truncation at any byte leaves a prefix', () => {
  fastCheck.assert(fastCheck.property(
    fastCheck.array(fastCheck.uint8Array({ maxLength: 700 }), { maxLength: 8 }),
    fastCheck.nat(),
    (payloads, cut) => {
      const whole = Buffer.concat(payloads.map(encodeFrame))
      assert.is(scanFrames(whole).payloads.length, payloads.length)
      const length = whole.length === 0 ? 0 : cut % whole.length
      const scan = scanFrames(whole.subarray(0, length))
      assert.not.equal(scan.end, 'corrupt')
      scan.payloads.forEach((payload, at) => assert.equal(Buffer.from(payload), Buffer.from(payloads[at] as Uint8Array)))
    }
  ), { seed: 4, numRuns: 300 })
})

test('a truncated segment that is not the last fails with checksum_mismatch', async () => {
  await withFolder(async (path) => {
    const { journal } = await Journal.open(await FaultFolder.create(path), 0, { segmentBytes: SEGMENT_BYTES })
    for (let index = 1; index <= 20; index += 1) await journal.append([entry(index)])
    await journal.close()
    const first = join(path, (await readdir(path)).sort()[0] as string)
    await truncate(first, 50)
    assert.is(await codeOfOpening(path), 'checksum_mismatch')
  })
})

test.run()
