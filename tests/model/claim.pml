/* Model of the claim protocol (packages/core/claim.c): senders of one key race
 * for its row over a store that loses answers, applies writes late, and is
 * left by senders that die at any step.
 *
 * Checked: the key runs at most once; "not run" is never said after it ran; a
 * sender runs only while the row is open in its name. */

#define SENDERS 3
#define MAX_TRIES 2
#define NO_HOLDER 255

mtype = { absent, open, released, done, lost };

mtype state = absent;
byte holder = NO_HOLDER;
byte version = 0;
byte runs = 0;

/* One conditional write of (state, holder) where the version is `expected`. */
inline conditional_write (expected, new_state, who, ok)
{
  atomic
  {
    if
    :: version == expected ->
       state = new_state;
       holder = who;
       version++;
       ok = true
    :: else ->
       ok = false
    fi
  }
}

/* A write whose answer was given up on and that takes effect whenever it
 * likes. */
proctype late_write (byte expected; byte who)
{
  bool ok;

  conditional_write (expected, open, who, ok)
}

/* Ends the row of an insert whose effect is not known. */
proctype release_row (byte expected; byte who)
{
  bool ok;
  byte tries = 0;

  do
  :: tries == 3 -> break
  :: tries < 3 ->
     tries++;
     conditional_write (expected, released, who, ok);
     if
     :: ok -> break
     :: else ->
        atomic
        {
          if
          :: state == open && holder == who -> expected = version
          :: else -> break
          fi
        }
     fi
  od
}

proctype sender (byte me)
{
  byte expected = 0;
  byte tries = 0;
  bool write_sent = false;
  bool ok;

try_claim:
  if
  :: tries == MAX_TRIES -> goto give_up
  :: tries < MAX_TRIES -> tries++
  fi;
  write_sent = true;
  if
  :: true -> conditional_write (expected, open, me, ok)
  :: run late_write (expected, me); goto try_claim  /* no answer, effect late */
  :: true -> conditional_write (expected, open, me, ok); goto try_claim /* answer lost */
  :: goto dead
  fi;
  /* On a conflict the service shows the row as it is. */
  atomic
  {
    if
    :: ok -> expected = version; goto claimed
    :: (!ok && state == open && holder == me) ->
       expected = version;
       goto claimed
    :: (!ok && (state == released || state == absent)) ->
       expected = version;
       goto try_claim
    :: (!ok && state != released && state != absent && (state != open || holder != me)) ->
       goto finished /* in progress, stored answer, or lost */
    fi
  }

claimed:
  if
  :: skip          /* a slot was found */
  :: goto refuse   /* none was: it never runs */
  :: goto dead
  fi;
  assert (state == open && holder == me);
  runs++;
  assert (runs == 1);
  if
  :: true -> conditional_write (expected, done, me, ok)
  :: true -> conditional_write (expected, lost, me, ok)
  :: goto dead
  fi;
  goto finished;

refuse:
  assert (runs == 0); /* the caller is told "not run" */
  run release_row (expected, me);
  goto finished;

give_up:
  if
  :: write_sent -> run release_row (expected, me)
  :: else -> skip
  fi;

dead:
finished:
  skip
}

init
{
  byte i;

  atomic
  {
    for (i : 0 .. SENDERS - 1)
    {
      run sender (i)
    }
  }
}
