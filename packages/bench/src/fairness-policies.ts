import { FairQueue } from '@hickoryspoke/limits/fair-queue'
import type { FakeClock } from '@hickoryspoke/testing/fake-clock'
import type { SlotSchedulingPolicy } from './fairness-arrivals.ts'

/** The fair queue that entries use. */
export function fairQueuePolicy (clock: FakeClock, slots: number): SlotSchedulingPolicy {
  const queue = FairQueue.create(clock)
  queue.setCapacity(slots)
  return {
    request: (customer, deadlineMilliseconds, start) => {
      void queue.enter({ customer: customer.name, weight: customer.weight, deadlineMilliseconds }).then((result) => {
        if (result.isErr()) return
        const slot = result.value
        const startedAt = clock.monotonicMilliseconds()
        start(() => slot.release(clock.monotonicMilliseconds() - startedAt))
      })
    }
  }
}

/** No queue: a request is refused when no slot is free. */
export function noQueuePolicy (_clock: FakeClock, slots: number): SlotSchedulingPolicy {
  let used = 0
  return {
    request: (_customer, _deadline, start) => {
      if (used >= slots) return
      used += 1
      start(() => { used -= 1 })
    }
  }
}

const MAX_WAITING = 1000

/** One FIFO queue shared by all customers. */
export function sharedQueuePolicy (_clock: FakeClock, slots: number): SlotSchedulingPolicy {
  const waiting: ((done: () => void) => void)[] = []
  let used = 0
  const dispatch = (): void => {
    while (used < slots && waiting.length > 0) {
      used += 1
      waiting.shift()?.(() => {
        used -= 1
        dispatch()
      })
    }
  }
  return {
    request: (_customer, _deadline, start) => {
      if (waiting.length >= MAX_WAITING) return
      waiting.push(start)
      dispatch()
    }
  }
}
