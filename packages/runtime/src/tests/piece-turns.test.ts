import { setImmediate as nextTurn } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { PieceTurns, type PieceShare } from '../piece-turns.ts'

const PIECES = 60_000
const CONNECTIONS = 24
/** Pieces that may be handled in one turn, beside those that each further connection may hand on. */
const MAXIMUM_IN_TURN = 4_096 + CONNECTIONS * 64

/** A connection on which all pieces of a body have arrived. */
class TestReader {
  read = 0
  private readonly share: PieceShare

  constructor (turns: PieceTurns, private left: number) {
    this.share = turns.share(() => this.readOn())
  }

  readOn (): void {
    while (this.left > 0) {
      this.left -= 1
      this.read += 1
      if (!this.share.take(1)) return
    }
  }

  leave (): void {
    this.left = 0
    this.share.leave()
  }
}

const sumOf = (readers: readonly TestReader[]): number => readers.reduce((sum, { read }) => sum + read, 0)

// Guards against bodies in very many pieces that keep the event loop busy, so that nobody else is answered for seconds.
test('connections with very many pieces share the turns of the event loop', async () => {
  const turns = PieceTurns.create()
  const readers = Array.from({ length: CONNECTIONS }, () => new TestReader(turns, PIECES))
  for (const reader of readers) reader.readOn()
  let seen = sumOf(readers)
  let turnsTaken = 0
  while (seen < CONNECTIONS * PIECES) {
    await nextTurn()
    const now = sumOf(readers)
    assert.ok(now - seen <= 2 * MAXIMUM_IN_TURN, `${now - seen} pieces in a turn`)
    assert.ok(now > seen, 'each turn reads on')
    seen = now
    turnsTaken += 1
  }
  assert.ok(turnsTaken >= CONNECTIONS * PIECES / (2 * MAXIMUM_IN_TURN))
  assert.is(turns.waitingConnections, 0)
})

// Guards against a connection that waits behind others for ever, and one with few pieces that waits for those with many.
test('all connections go on alike, and a short body does not wait', async () => {
  const turns = PieceTurns.create()
  const readers = Array.from({ length: CONNECTIONS }, () => new TestReader(turns, PIECES))
  for (const reader of readers) reader.readOn()
  const short = new TestReader(turns, 16)
  short.readOn()
  assert.is(short.read, 16)
  for (let turn = 0; turn < 60; turn += 1) await nextTurn()
  const counts = readers.map(({ read }) => read)
  assert.ok(Math.max(...counts) - Math.min(...counts) <= 2 * 512, counts.join(' '))
  for (const reader of readers) reader.leave()
  await nextTurn()
  assert.is(turns.waitingConnections, 0)
})

test.run()
