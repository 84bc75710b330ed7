/** Runs one replica that proposes increasing numbers forever and prints each one once it is confirmed. Argument: the data folder. */
import { SystemClock, sleep } from '@hickoryspoke/runtime/clock'
import { SystemRandom } from '@hickoryspoke/runtime/random'
import { Replica } from '../replica.ts'
import { ListStateMachine } from './test-cluster.ts'

const clock = SystemClock.create()
const machine = new ListStateMachine()
const created = await Replica.create({
  cluster: 'test',
  name: 'alpha',
  folder: process.argv[2] as string,
  peers: ['alpha'],
  onEmptyFolder: 'form',
  stateMachine: machine,
  clock,
  random: SystemRandom.create(),
  tuning: { snapshotEntries: 50, segmentBytes: 2_000, retainedBytes: 0 }
})
const replica = created.unwrap()
replica.start()
while (replica.role() !== 'leader' || (await replica.readBarrier()).isErr()) await sleep(clock, 1)
console.log(`restored ${JSON.stringify(machine.commands)}`)
for (let number = machine.commands.length + 1; ; number += 1) {
  const answer = await replica.propose(Buffer.from(String(number)))
  if (answer.isOk()) console.log(`confirmed ${number}`)
}
