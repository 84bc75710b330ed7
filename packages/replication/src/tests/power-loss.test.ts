import { readFile, readdir, rm, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { FRAME_HEADER_BYTES } from '../frame.ts'
import { TestCluster } from './test-cluster.ts'
import { FaultFolder, flipBit } from './fault-folder.ts'

const SMALL = { snapshotEntries: 4, segmentBytes: 150, retainedBytes: 0 }
const COMMANDS = 12
const MAXIMUM_STEPS = 300

/** Boots one replica that loses power at a step. Returns the acknowledged commands. */
async function runUntilPowerLoss (cluster: TestCluster, crashAtStep: number, tornShare: number): Promise<string[]> {
  const folder = await FaultFolder.create(cluster.folderPath('alpha'))
  folder.crashAtStep = crashAtStep
  folder.tornFraction = tornShare
  const acknowledged: string[] = []
  const { opened, node } = await cluster.open('alpha', 'form', folder)
  if (opened.isOk()) {
    const replica = opened.value
    cluster.nodes.set('alpha', { replica, ...node })
    replica.start()
    await cluster.advance(50)
    for (let number = 1; number <= COMMANDS && replica.role() === 'leader'; number += 1) {
      const answer = await cluster.propose(`command ${number}`, replica)
      if (answer.isOk()) acknowledged.push(`command ${number}`)
    }
    await cluster.advance(50)
    cluster.nodes.delete('alpha')
    await replica.abort()
  }
  await folder.dropUnsynced()
  return acknowledged
}

for (const tornShare of [0, 0.5, 1]) {
  test(`a replica that loses power at any step of start, append or snapshot keeps acknowledged commands (${tornShare} torn)`, async () => {
    let fullRuns = 0
    for (let crashAtStep = 1; fullRuns < 2; crashAtStep += 1) {
      const cluster = await TestCluster.create(['alpha'], crashAtStep, SMALL)
      const acknowledged = await runUntilPowerLoss(cluster, crashAtStep, tornShare)
      if (acknowledged.length === COMMANDS) fullRuns += 1
      assert.ok(crashAtStep < MAXIMUM_STEPS, 'a run without power loss needs fewer steps')
      await cluster.boot('alpha', 'form')
      await cluster.until(() => cluster.leaderName() === 'alpha')
      await cluster.propose('after')
      const commands = cluster.commands('alpha')
      assert.equal(commands.slice(0, acknowledged.length), acknowledged, `step ${crashAtStep}`)
      assert.ok(commands.length <= acknowledged.length + 2, `step ${crashAtStep}`)
      await cluster.destroy()
    }
  })
}

test('500 commands survive three crashes, from snapshot and journal', async () => {
  const cluster = await TestCluster.formed(['alpha'], 3, { snapshotEntries: 120, segmentBytes: 2_000 })
  const expected: string[] = []
  for (let number = 1; number <= 500; number += 1) {
    expected.push(`change ${number}`)
    const answers = cluster.leader().propose(Buffer.from(`change ${number}`))
    if (number % 50 === 0) await Promise.all([answers, cluster.advance(50)])
    if (number === 200 || number === 350) {
      await cluster.crash('alpha')
      await cluster.boot('alpha')
      await cluster.until(() => cluster.leaderName() === 'alpha')
    }
  }
  await cluster.crash('alpha')
  await cluster.boot('alpha')
  await cluster.until(() => cluster.leaderName() === 'alpha')
  await cluster.until(() => cluster.commands('alpha').length === 500)
  assert.equal(cluster.commands('alpha'), expected)
  await cluster.destroy()
})

async function formedFolder (seed: number): Promise<TestCluster> {
  const cluster = await TestCluster.formed(['alpha'], seed, { snapshotEntries: 8, segmentBytes: 150, retainedBytes: 0 })
  for (let number = 1; number <= 20; number += 1) await cluster.propose(`command ${number}`)
  await cluster.advance(100)
  await cluster.stop('alpha')
  return cluster
}

interface FolderFault {
  readonly label: string
  readonly expected: string
  readonly damage: (path: string) => Promise<void>
}

async function removeStartingWith (path: string, prefix: string): Promise<void> {
  for (const name of await readdir(path)) {
    if (name.startsWith(prefix)) await rm(join(path, name))
  }
}

async function flipIn (path: string, prefix: string, offset: number): Promise<void> {
  const name = (await readdir(path)).find((one) => one.startsWith(prefix)) as string
  await flipBit(join(path, name), offset)
}

const FOLDER_FAULTS: readonly FolderFault[] = [
  { label: 'the ballot has a flipped bit', expected: 'checksum_mismatch', damage: (path) => flipIn(path, 'ballot', 20) },
  { label: 'the ballot is missing', expected: 'missing_file', damage: (path) => removeStartingWith(path, 'ballot') },
  { label: 'the identity has a flipped bit', expected: 'checksum_mismatch', damage: (path) => flipIn(path, 'identity', 30) },
  { label: 'the identity is missing', expected: 'missing_file', damage: (path) => removeStartingWith(path, 'identity') },
  { label: 'the snapshot has a flipped bit', expected: 'checksum_mismatch', damage: (path) => flipIn(path, 'snapshot', 60) },
  { label: 'the snapshot is missing', expected: 'journal_gap', damage: (path) => removeStartingWith(path, 'snapshot') },
  {
    label: 'the newest segment is missing',
    expected: 'journal_gap',
    damage: async (path) => {
      const newest = (await readdir(path)).filter((name) => name.startsWith('segment-')).sort().at(-1) as string
      await rm(join(path, newest))
    }
  },
  {
    label: 'the snapshot ends after its header',
    expected: 'checksum_mismatch',
    damage: async (path) => {
      const file = join(path, (await readdir(path)).find((name) => name.startsWith('snapshot-')) as string)
      const bytes = await readFile(file)
      await writeFile(file, bytes.subarray(0, FRAME_HEADER_BYTES + bytes.readUInt32BE(4)))
    }
  },
  { label: 'the folder is empty', expected: 'empty_folder', damage: (path) => removeStartingWith(path, '') },
  {
    label: 'the snapshot file has no content',
    expected: 'checksum_mismatch',
    damage: async (path) => {
      const name = (await readdir(path)).find((one) => one.startsWith('snapshot')) as string
      await writeFile(join(path, name), Buffer.alloc(0))
    }
  }
]

FOLDER_FAULTS.forEach(({ label, expected, damage }, at) => {
  test(`a replica does not start when ${label}`, async () => {
    const cluster = await formedFolder(100 + at)
    await damage(cluster.folderPath('alpha'))
    const { opened } = await cluster.open('alpha')
    assert.is((opened.unwrapErr() as { code?: string }).code, expected)
    await cluster.destroy()
  })
})

test('a folder of another replica is rejected with foreign_folder', async () => {
  const cluster = await formedFolder(120)
  const { opened } = await cluster.open('beta', 'form', await FaultFolder.create(cluster.folderPath('alpha')))
  assert.is((opened.unwrapErr() as { code?: string }).code, 'foreign_folder')
  await cluster.destroy()
})

test('a full disk stops the replica with disk_full and loses no confirmed command', async () => {
  const cluster = await TestCluster.formed(['alpha'], 130)
  await cluster.propose('kept')
  const { replica, folder } = cluster.node('alpha')
  folder.fault = { operation: 'append', code: 'ENOSPC' }
  assert.is((await cluster.propose('refused')).unwrapErr().code, 'proposal_not_confirmed')
  assert.is((await replica.whenStopped())?.code, 'disk_full')
  assert.is((await replica.propose(Buffer.from('later'))).unwrapErr().code, 'replica_stopped')
  await cluster.crash('alpha')
  await cluster.boot('alpha')
  await cluster.until(() => cluster.leaderName() === 'alpha')
  assert.is(cluster.commands('alpha')[0], 'kept')
  await cluster.destroy()
})

test.run()
