import { setImmediate as nextTurn } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ReadTurns, type WaitingInput } from '../read-turns.ts'

const PIPELINED = 16

/** A connection that has sent many requests ahead. At most `PIPELINED` are in work; each ends in a microtask, or as the test says. */
class TestInput implements WaitingInput {
  read = 0
  private inWork: number[] = []

  constructor (private readonly turns: ReadTurns, private left: number, private readonly endsAtOnce = true) {}

  takeTurn (): void {
    while (this.left > 0 && this.inWork.length < PIPELINED && this.turns.take(this)) {
      this.left -= 1
      this.read += 1
      this.inWork.push(this.turns.requestBegun())
      if (this.endsAtOnce) queueMicrotask(() => this.end())
    }
  }

  end (): void {
    const turn = this.inWork.shift()
    if (turn !== undefined) this.turns.requestEnded(turn)
    this.takeTurn()
  }
}

/** Lets connections read in one turn, each in a callback of its own as when input arrives. */
async function arrive (inputs: readonly TestInput[]): Promise<void> {
  for (const input of inputs) {
    input.takeTurn()
    await Promise.resolve().then(() => {}).then(() => {})
  }
}

const sumOf = (inputs: readonly TestInput[]): number => inputs.reduce((sum, { read }) => sum + read, 0)

// Guards against connections with many requests sent ahead that keep a process from all others, as their requests end at once (CONFIG, RECOVER).
test('requests that end at once are few in a turn, and a connection that comes later waits only for one request of each other', async () => {
  const turns = ReadTurns.create()
  const ahead = Array.from({ length: 40 }, () => new TestInput(turns, 3_000))
  await arrive(ahead)
  assert.ok(sumOf(ahead) < 3 * PIPELINED, `${sumOf(ahead)} requests were read in one turn`)
  const before = ahead.map(({ read }) => read)
  const late = new TestInput(turns, 1)
  late.takeTurn()
  while (late.read === 0) await nextTurn()
  const since = ahead.map(({ read }, index) => read - (before[index] as number))
  assert.ok(since.every((read) => read <= 2), since.join(' '))
})

test('all requests are read in the end, and nothing is left waiting', async () => {
  const turns = ReadTurns.create()
  const inputs = Array.from({ length: 20 }, () => new TestInput(turns, 50))
  await arrive(inputs)
  while (turns.waitingConnections > 0) await nextTurn()
  assert.equal(inputs.map(({ read }) => read), Array(20).fill(50))
})

test('requests that stay in work are not held back', () => {
  const turns = ReadTurns.create()
  const inputs = Array.from({ length: 40 }, () => new TestInput(turns, 20, false))
  for (const input of inputs) input.takeTurn()
  assert.is(sumOf(inputs), 40 * PIPELINED)
})

test('a connection that has closed takes no turn', async () => {
  const turns = ReadTurns.create()
  const inputs = Array.from({ length: 3 }, () => new TestInput(turns, 100))
  await arrive(inputs)
  const last = inputs[2] as TestInput
  turns.leave(last)
  for (let turn = 0; turn < 10; turn += 1) await nextTurn()
  assert.is(last.read, 0)
})

test.run()
