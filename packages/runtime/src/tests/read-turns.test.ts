import { setImmediate as nextTurn } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ReadTurns, type WaitingInput } from '../read-turns.ts'

const HEAD_BYTES = 20

/** A connection that has sent many requests ahead, all of which are answered at once. */
class TestInput implements WaitingInput {
  read = 0

  constructor (private readonly turns: ReadTurns, private readonly bytes: number, private left: number) {}

  takeTurn (): void {
    while (this.left > 0 && this.turns.take(this, this.bytes)) {
      this.left -= 1
      this.read += 1
    }
  }
}

// Guards against connections with many requests sent ahead that keep a process from all others, as their requests end at once (CONFIG, RECOVER).
test('a connection reads one request in a turn, and a connection that comes later waits only for one request of each other', async () => {
  const turns = ReadTurns.create()
  const ahead = Array.from({ length: 40 }, () => new TestInput(turns, HEAD_BYTES, 3_000))
  for (const input of ahead) input.takeTurn()
  assert.is(ahead.reduce((sum, { read }) => sum + read, 0), 16)
  const late = new TestInput(turns, HEAD_BYTES, 1)
  late.takeTurn()
  while (late.read === 0) await nextTurn()
  assert.ok(ahead.every(({ read }) => read >= 1 && read <= 3), `${ahead.map(({ read }) => read).join(' ')}`)
})

test('all requests are read in the end, and nothing is left waiting', async () => {
  const turns = ReadTurns.create()
  const inputs = Array.from({ length: 20 }, () => new TestInput(turns, HEAD_BYTES, 5))
  for (const input of inputs) input.takeTurn()
  while (turns.waitingConnections > 0) await nextTurn()
  assert.equal(inputs.map(({ read }) => read), Array(20).fill(5))
})

test('fewer large heads are read in a turn, but always one', () => {
  const turns = ReadTurns.create()
  const inputs = Array.from({ length: 10 }, () => new TestInput(turns, 30_000, 1))
  for (const input of inputs) input.takeTurn()
  assert.is(inputs.filter(({ read }) => read === 1).length, 2)
  const huge = new TestInput(ReadTurns.create(), 1_000_000, 1)
  huge.takeTurn()
  assert.is(huge.read, 1)
})

test('a connection that has closed takes no turn', async () => {
  const turns = ReadTurns.create()
  const inputs = Array.from({ length: 17 }, () => new TestInput(turns, HEAD_BYTES, 1))
  for (const input of inputs) input.takeTurn()
  turns.leave(inputs[16] as TestInput)
  await nextTurn()
  assert.is(inputs[16]?.read, 0)
})

test.run()
