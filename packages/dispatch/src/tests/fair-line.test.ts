/** The order in which waiting requests of one priority are served. */
import { SeededRandom, randomBelow } from '@hickoryspoke/runtime/random'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { FairLine } from '../fair-line.ts'
import { FairLines } from '../fair-lines.ts'
import type { WaitingQuestion } from '../waiting-queue.ts'
import { question } from './fixture.ts'

let lastTicket = 0

function waitingOf (customer: string, priority = 1): WaitingQuestion {
  lastTicket += 1
  return { question: question(lastTicket, { customer, priority }), requester: { entry: 'one', zone: 'zone-a' }, since: lastTicket, resolve: () => {} }
}

function lineOf (...customers: string[]): FairLine {
  const line = FairLine.create()
  for (const customer of customers) line.add(waitingOf(customer))
  return line
}

/** Serves up to `count` requests and returns their customers. */
function serve (line: FairLine, count = Infinity): string {
  let served = ''
  for (let first = line.at(0); first !== undefined && served.length < count; first = line.at(0)) {
    served += first.question.customer
    line.serve(first)
  }
  return served
}

// Guards against a customer with many requests that displaces the others.
test('each customer is served in turn, whatever the others have waiting', () => {
  assert.is(serve(lineOf('a', 'a', 'a', 'a', 'b', 'c', 'c')), 'abcacaa')
})

test('places are those in which the requests are served', () => {
  const line = lineOf('a', 'a', 'b', 'a', 'c', 'b')
  const places = Array.from({ length: line.length }, (_, place) => line.at(place)?.question.customer).join('')
  assert.is(places, serve(line))
  assert.is(line.at(0), undefined)
})

test('a request that is withdrawn does not cost its customer the turn', () => {
  const line = lineOf('a', 'b', 'a')
  line.remove(line.at(0) as WaitingQuestion)
  assert.is(serve(line), 'ab')
})

test('a returning caller goes before the other requests of its customer, and not before other customers', () => {
  const line = lineOf('a', 'b', 'b')
  const [first, second] = [waitingOf('b'), waitingOf('b')]
  line.add(first, true)
  line.add(second, true)
  assert.equal([line.at(0)?.question.customer, line.at(1), line.at(2)], ['a', first, second])
  assert.equal([line.depthOf('b', true), line.depthOf('b', false)], [2, 4])
})

test('the requests ahead are those of earlier rounds and at most those of its own', () => {
  const line = lineOf('a', 'a', 'a', 'b', 'b', 'c')
  assert.equal([0, 1, 2, 3].map((depth) => line.ahead(depth)), [3, 5, 6, 6])
})

test('more urgent priorities go first, late requests behind the others of their priority', () => {
  const lines = FairLines.create()
  const [late, urgent, patient, onTime] = [waitingOf('a', 0), waitingOf('b', 0), waitingOf('c', 2), waitingOf('d', 0)]
  for (const waiting of [patient, late, urgent, onTime]) lines.add(waiting, false)
  assert.ok(lines.moveToLate(late))
  assert.not.ok(lines.moveToLate(late))
  assert.equal(lines.lines().flatMap((line) => [line.at(0), line.at(1)]), [urgent, onTime, late, undefined, patient, undefined])
  assert.equal([lines.moreUrgent(2), lines.upTo(0), lines.onTimeUpTo(0), lines.length], [3, 3, 2, 4])
})

// Guards against lost or repeated requests after any order of operations.
test('random additions, removals and services keep the counts right', () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const random = SeededRandom.create(seed)
    const line = FairLine.create()
    const held = new Set<WaitingQuestion>()
    for (let step = 0; step < 500; step += 1) {
      const any = [...held][randomBelow(random, held.size + 1)]
      if (random.next() < 0.5 || any === undefined) {
        const added = waitingOf('abcd'[randomBelow(random, 4)] as string)
        line.add(added, random.next() < 0.3)
        held.add(added)
        continue
      }
      const first = line.at(0) as WaitingQuestion
      const gone = random.next() < 0.5 ? any : first
      assert.ok(gone === first ? line.serve(first) : line.remove(gone))
      assert.not.ok(line.remove(gone))
      held.delete(gone)
      assert.is(line.length, held.size)
      assert.is(line.ahead(2_000), held.size)
      assert.is(line.depthOf('a', false), [...held].filter((waiting) => waiting.question.customer === 'a').length)
    }
    assert.is(serve(line).length, held.size)
  }
})

/** Processor time of a number of operations in a line of the given length, in microseconds. */
function costAt (length: number): number {
  const line = FairLine.create()
  for (let index = 0; index < length; index += 1) line.add(waitingOf(`customer-${index % 70}`))
  const added = Array.from({ length: 5_000 }, (_, index) => waitingOf(`customer-${index % 70}`))
  const began = process.cpuUsage()
  for (const waiting of added) {
    line.add(waiting)
    line.ahead(line.depthOf(waiting.question.customer, false))
    line.serve(line.at(0) as WaitingQuestion)
  }
  const { user, system } = process.cpuUsage(began)
  return user + system
}

// Guards against a leader that has no processor time left when many requests wait. A cost that grew with the length would be 200 times as high.
test('an operation costs the same in a long line', () => {
  costAt(100)
  const short = Math.min(...[1, 2, 3].map(() => costAt(100)))
  const long = Math.min(...[1, 2, 3].map(() => costAt(20_000)))
  assert.ok(long < 10 * short, `${long} us with 20,000 waiting, ${short} us with 100`)
})

test.run()
