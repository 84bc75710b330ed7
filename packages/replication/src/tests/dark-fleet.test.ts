import { test } from 'uvu'
import { DarkFleet, type DarkFleetSize } from './dark-fleet.ts'

const SIZES: readonly DarkFleetSize[] = [{ replicas: 3, losses: 1 }, { replicas: 4, losses: 1 }, { replicas: 6, losses: 2 }]
const ROUNDS = 4
/** More seeds for a run by hand: `DARK_FLEET_SEEDS=1-100`. */
const [FIRST_SEED, LAST_SEED] = (process.env.DARK_FLEET_SEEDS ?? '1-4').split('-').map(Number) as [number, number]

// Guards against acknowledged changes that are gone, or show an older state, after all VMs lost power and disks were lost with it (LOST).
for (const size of SIZES) {
  for (let seed = FIRST_SEED; seed <= LAST_SEED; seed += 1) {
    test(`${size.replicas} replicas that lose power right after an acknowledgement, and ${size.losses} of the disks, keep it (seed ${seed})`, async () => {
      const fleet = await DarkFleet.create(size, seed)
      for (let round = 0; round < ROUNDS; round += 1) await fleet.round()
      await fleet.cluster.destroy()
    })
  }
}

test.run()
