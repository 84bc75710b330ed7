import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import * as assert from 'uvu/assert'
import { test } from 'uvu'
import { FairQueue, type QueuePermit } from '../fair-queue.ts'
import type { QueueRefusal } from '../queue-refusal.ts'

const FAR = 1_000_000

interface Outcome {
  readonly customer: string
  readonly pass?: QueuePermit
  readonly refusal?: QueueRefusal
}

class Bench {
  readonly clock = FakeClock.create()
  readonly outcomes: Outcome[] = []
  readonly queue: FairQueue

  constructor (slots: number, maximumWaiting = 100) {
    this.queue = FairQueue.create(this.clock, { maximumWaiting })
    this.queue.setCapacity(slots)
  }

  send (customer: string, options: { weight?: number, deadline?: number, signal?: AbortSignal } = {}): void {
    const { weight = 1, deadline = FAR, signal } = options
    void this.queue.enter({ customer, weight, deadlineMilliseconds: deadline, signal }).then((result) => {
      this.outcomes.push(result.isOk() ? { customer, pass: result.value } : { customer, refusal: result.error })
    })
  }

  /** Serves one request after the other and returns the number served by customer. */
  async serve (requests: number, serviceMilliseconds: number): Promise<Record<string, number>> {
    const served: Record<string, number> = {}
    for (let done = 0; done < requests; done += 1) {
      await this.clock.advanceAsync(serviceMilliseconds)
      const index = this.outcomes.findIndex((outcome) => outcome.pass !== undefined)
      if (index < 0) return served
      const [outcome] = this.outcomes.splice(index, 1)
      served[outcome?.customer ?? ''] = (served[outcome?.customer ?? ''] ?? 0) + 1
      outcome?.pass?.release(serviceMilliseconds)
    }
    return served
  }

  reasons (): string[] {
    return this.outcomes.flatMap((outcome) => outcome.refusal?.reason ?? [])
  }
}

test('service is shared by weight regardless of queue lengths', async () => {
  const bench = new Bench(1)
  for (let request = 0; request < 60; request += 1) bench.send('flood')
  for (let request = 0; request < 30; request += 1) bench.send('large', { weight: 3 })
  const served = await bench.serve(40, 10)
  assert.ok(Math.abs((served.large ?? 0) - 30) <= 2, `large got ${served.large} of 40`)
})

test('a customer that becomes active again gets its share at once but no credit for idle time', async () => {
  const bench = new Bench(1)
  for (let request = 0; request < 60; request += 1) bench.send('steady')
  await bench.serve(20, 10)
  for (let request = 0; request < 20; request += 1) bench.send('returning')
  const served = await bench.serve(20, 10)
  assert.ok(Math.abs((served.returning ?? 0) - 10) <= 1, `returning got ${served.returning} of 20`)
})

test('a request that cannot finish before its deadline is refused at once', async () => {
  const bench = new Bench(1)
  for (let request = 0; request < 5; request += 1) bench.send('first')
  await bench.serve(1, 100)
  bench.send('first', { deadline: bench.clock.monotonicMilliseconds() + 150 })
  await bench.clock.advanceAsync(0)
  assert.equal(bench.reasons(), ['deadline'])
})

test('a request whose deadline passes while it waits is refused without running', async () => {
  const bench = new Bench(1)
  bench.send('first')
  bench.send('first', { deadline: 50 })
  const served = await bench.serve(2, 100)
  assert.equal(served, { first: 1 })
  assert.equal(bench.reasons(), ['deadline'])
})

test('a full queue evicts a request of the customer with the longest queue', async () => {
  const bench = new Bench(1, 4)
  for (let request = 0; request < 8; request += 1) bench.send('flood')
  bench.send('small')
  await bench.clock.advanceAsync(0)
  assert.equal(bench.reasons(), ['full', 'full', 'full', 'full'])
  assert.equal(bench.queue.view().customers.map((line) => [line.customer, line.waiting]), [['flood', 3], ['small', 1]])
})

test('a cancelled request leaves the queue', async () => {
  const bench = new Bench(1)
  const caller = new AbortController()
  bench.send('first')
  bench.send('first', { signal: caller.signal })
  caller.abort()
  await bench.clock.advanceAsync(0)
  assert.equal(bench.reasons(), ['cancelled'])
  assert.is(bench.queue.view().waiting, 0)
})

test('closing refuses all waiting requests, and a permit releases its slot only once', async () => {
  const bench = new Bench(1)
  bench.send('first')
  bench.send('first')
  await bench.clock.advanceAsync(0)
  bench.queue.close()
  await bench.clock.advanceAsync(0)
  bench.outcomes[0]?.pass?.release(1)
  bench.outcomes[0]?.pass?.release(1)
  assert.equal(bench.reasons(), ['closed'])
  assert.is(bench.queue.view().inFlight, 0)
})

test.run()
